package propagation

import (
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"
)

// fleet simulates processes, a store and a network in one goroutine and simulated time.
type fleet struct {
	rng            *rand.Rand
	now            time.Time
	processes      []*process
	revision       uint64 // in the store
	calls          int    // of the store, by all processes
	loss           float64
	delay          time.Duration // of a message between processes
	watchesBlocked bool          // watches never report a change
	historyLost    bool          // every watch ends with HistoryLost
	failsCallsOf   func(i int) bool
	scheduled      []event
}

type event struct {
	at  time.Time
	run func()
}

type process struct {
	i         int
	n         *Node
	stopped   bool
	call      Call // pending call
	startedAt time.Time
	watched   uint64 // revision in force when the watch began
	refused   bool   // the store refused the call when it began
}

const (
	step         = 5 * time.Millisecond
	storeDelay   = 4 * time.Millisecond // time in which the store answers
	defaultDelay = 2 * time.Millisecond
)

func newFleet(processes int, seed uint64) *fleet {
	f := startFleet(processes, seed)
	f.revision = 1
	f.advance(5 * time.Second)
	return f
}

// startFleet returns a fleet that starts while the store has no value.
func startFleet(processes int, seed uint64) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 3)), now: time.Unix(1000, 0), delay: defaultDelay, failsCallsOf: func(int) bool { return false }}
	for i := range processes {
		f.processes = append(f.processes, &process{i: i, n: New(f.rng)})
	}
	return f
}

func address(i int) netip.AddrPort {
	var ip [4]byte
	binary.BigEndian.PutUint32(ip[:], uint32(i)+10<<24)
	return netip.AddrPortFrom(netip.AddrFrom4(ip), 1)
}

func (f *fleet) after(d time.Duration, do func()) {
	f.scheduled = append(f.scheduled, event{f.now.Add(d), do})
}

// advance passes simulated time in steps.
func (f *fleet) advance(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(step)
		due := f.scheduled
		f.scheduled = nil
		for _, e := range due {
			if e.at.After(f.now) {
				f.scheduled = append(f.scheduled, e)
				continue
			}
			e.run()
		}
		f.gossip()
		for _, p := range f.processes {
			if !p.stopped {
				f.advanceProcess(p)
			}
		}
	}
}

// gossip informs a random process of a revision that another one knows, as agents do.
func (f *fleet) gossip() {
	a, b := f.processes[f.rng.IntN(len(f.processes))], f.processes[f.rng.IntN(len(f.processes))]
	if !a.stopped {
		b.n.ObserveRevision(f.now, a.n.newestKnown)
	}
}

// advanceProcess carries out the calls and messages that are due for p.
func (f *fleet) advanceProcess(p *process) {
	if p.call == Watch && (f.historyLost || f.revision > p.watched && !f.watchesBlocked || f.now.Sub(p.startedAt) >= WatchTimeout) {
		f.answer(p)
	}
	if c := p.n.StoreCall(f.now); c != None {
		f.calls++
		p.n.CallStarted(f.now, c)
		p.call, p.startedAt, p.watched = c, f.now, p.n.revision
		p.refused = f.failsCallsOf(p.i)
		if c == Read || p.refused {
			f.after(storeDelay, func() { f.answer(p) })
		}
	}
	if from, ok := p.n.Fetch(f.now); ok {
		if !from.IsValid() {
			from = address(f.rng.IntN(len(f.processes)))
		}
		p.n.FetchStarted(f.now)
		f.after(2*f.delay, func() { f.fetch(p, from) })
	}
	if d, ok := p.n.NextDigest(f.now); ok {
		for range Fanout {
			to := f.processes[f.rng.IntN(len(f.processes))]
			if f.rng.Float64() >= f.loss {
				f.after(f.delay, func() { f.receive(to, p, f.inTransit(d)) })
			}
		}
	}
}

func (f *fleet) receive(p, from *process, d Digest) {
	if p.stopped {
		return
	}
	if answer, ok := p.n.Receive(f.now, address(from.i), d); ok {
		f.after(f.delay, func() { from.n.Receive(f.now, address(p.i), f.inTransit(answer)) })
	}
}

// inTransit returns a digest as it arrives: its age of the read lacks the transit time.
func (f *fleet) inTransit(d Digest) Digest {
	if d.Read.Number != 0 {
		d.Read.At = d.Read.At.Add(f.delay)
	}
	return d
}

func (f *fleet) answer(p *process) {
	if p.stopped || p.call == None {
		return
	}
	c, o := p.call, Answered
	p.call = None
	if p.refused || f.failsCallsOf(p.i) {
		o = Failed
	} else if c == Watch && f.historyLost {
		o = HistoryLost
	} else if f.revision == 0 {
		o = Absent
	} else if c == Read || !f.watchesBlocked {
		f.applied(p, f.revision)
	}
	p.n.CallDone(f.now, c, p.startedAt, o)
}

// cutWatches ends all pending watches.
func (f *fleet) cutWatches() {
	for _, p := range f.processes {
		if p.call == Watch {
			f.answer(p)
		}
	}
}

func (f *fleet) fetch(p *process, from netip.AddrPort) {
	other := f.processes[slices.IndexFunc(f.processes, func(o *process) bool { return address(o.i) == from })]
	if !other.stopped {
		f.applied(p, other.n.revision)
	}
	p.n.FetchDone()
}

func (f *fleet) applied(p *process, revision uint64) {
	p.n.Applied(f.now, revision)
}

// change writes a new value and returns how long it takes to reach all running processes, at
// most limit.
func (f *fleet) change(limit time.Duration) time.Duration {
	f.revision++
	startedAt := f.now
	for f.now.Sub(startedAt) < limit && !f.converged() {
		f.advance(step)
	}
	return f.now.Sub(startedAt)
}

func (f *fleet) converged() bool {
	return !slices.ContainsFunc(f.processes, func(p *process) bool { return !p.stopped && p.n.revision < f.revision })
}

// watchers returns the running processes that are watchers.
func (f *fleet) watchers() (list []*process) {
	for _, p := range f.processes {
		if p.n.watcher && !p.stopped {
			list = append(list, p)
		}
	}
	return list
}

// maxPropagation is the time in which a change has to be in force in all processes.
const maxPropagation = 3 * time.Second

// Guards against calls of the store that grow with the number of processes while the
// operator has not written anything yet: each process without a value repeated its read.
func TestCallsDoNotGrowWithProcessesBeforeFirstValue(t *testing.T) {
	const span = 10 * time.Second
	for _, processes := range []int{1, 30, 300} {
		f := startFleet(processes, 5)
		f.advance(time.Second)
		f.calls = 0
		f.advance(span)
		if limit := int(2 * span / absentReadInterval); f.calls > limit {
			t.Errorf("%d processes: %d calls in %v, want %d at most", processes, f.calls, span, limit)
		}
		f.calls = 0
		if d := f.change(maxPropagation); d >= time.Second {
			t.Errorf("%d processes: the first value is in force everywhere after %v", processes, d)
		}
		if limit := 20; f.calls > limit {
			t.Errorf("%d processes: %d calls until the first value was in force everywhere, want %d at most", processes, f.calls, limit)
		}
	}
}

// Guards against a call rate of the store that grows with the number of processes.
func TestCallsDoNotGrowWithProcesses(t *testing.T) {
	const span, changes = 60 * time.Second, 30
	for _, processes := range []int{1, 5, 30, 300} {
		f := newFleet(processes, 7)
		f.loss = 0.01
		f.calls = 0
		var slowest, sum time.Duration
		for range changes {
			d := f.change(maxPropagation)
			slowest, sum = max(slowest, d), sum+d
			f.advance(max(0, span/changes-d))
		}
		t.Logf("%d processes: %d calls, in force everywhere after %v, slowest %v", processes, f.calls, sum/changes, slowest)
		if limit := int(3*span/(2*WatchTimeout)) + 2*changes; f.calls > limit {
			t.Errorf("%d processes: %d calls in %v with %d changes, want %d at most", processes, f.calls, span, changes, limit)
		}
		if slowest >= maxPropagation {
			t.Errorf("%d processes: a change is not in force everywhere after %v", processes, slowest)
		}
	}
}

// Guards against a change that does not come into force because the only watcher was killed,
// is refused by the store, or has a watch that reports no changes.
func TestChangeArrivesWithoutTheWatcher(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault func(f *fleet, watcher *process)
	}{
		{"killed", func(_ *fleet, w *process) { w.stopped = true }},
		{"refused", func(f *fleet, w *process) { f.failsCallsOf = func(i int) bool { return i == w.i } }},
		{"half refused", func(f *fleet, w *process) { f.failsCallsOf = func(i int) bool { return i%2 == w.i%2 } }},
		{"watches blocked", func(f *fleet, _ *process) { f.watchesBlocked = true }},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, processes := range []int{3, 12, 100} {
				for seed := range uint64(20) {
					f := newFleet(processes, seed)
					f.loss = 0.01
					list := f.watchers()
					if len(list) == 0 {
						t.Fatal("no process watches the store")
					}
					c.fault(f, list[0])
					if d := f.change(maxPropagation); d >= maxPropagation {
						t.Errorf("%d processes, seed %d: not in force everywhere after %v", processes, seed, d)
					}
				}
			}
		})
	}
}

// Guards against a store that no process reads for over a second after a short outage, in
// which time its lost writes stay unnoticed.
func TestStoreIsReadSoonAfterShortOutage(t *testing.T) {
	const outage, soon = 300 * time.Millisecond, 500 * time.Millisecond
	for _, processes := range []int{1, 2, 30} {
		for seed := range uint64(20) {
			f := newFleet(processes, seed)
			f.failsCallsOf = func(int) bool { return true }
			f.cutWatches()
			f.advance(outage)
			f.failsCallsOf = func(int) bool { return false }
			outageEnd := f.now
			for f.now.Sub(outageEnd) < maxPropagation && !slices.ContainsFunc(f.processes, func(p *process) bool { return p.n.ReadAt().After(outageEnd) }) {
				f.advance(step)
			}
			if took := f.now.Sub(outageEnd); took > soon {
				t.Errorf("%d processes, seed %d: first read %v after the end of the outage", processes, seed, took)
			}
		}
	}
}

// Guards against a store that serves reads and refuses every watch, and is called without a
// pause.
func TestRefusedWatchesAreSpaced(t *testing.T) {
	const span = 20 * time.Second
	for _, processes := range []int{1, 2, 30} {
		f := newFleet(processes, 3)
		f.historyLost = true
		f.calls = 0
		f.advance(span)
		// One read and one watch per WatchTimeout, and as many again by other processes that try.
		if limit := 4 * int(span/WatchTimeout); f.calls > limit {
			t.Errorf("%d processes: %d calls in %v, want %d at most", processes, f.calls, span, limit)
		}
		if d := f.change(maxPropagation); d >= maxPropagation {
			t.Errorf("%d processes: not in force everywhere after %v", processes, d)
		}
		f.historyLost = false
		f.advance(2 * backoffMax)
		if len(f.watchers()) == 0 {
			t.Errorf("%d processes: no process watches once watches work again", processes)
		}
	}
}

// Guards against a read that stays recent while it is passed on over slow links, so that no
// process reads the store.
func TestForwardedReadDoesNotSeemRecent(t *testing.T) {
	for seed := range uint64(20) {
		f := newFleet(23, seed)
		f.delay = 250 * time.Millisecond
		f.advance(2 * time.Second)
		for _, p := range f.watchers() {
			p.stopped = true
		}
		const limit = maxPropagation + 2*time.Second // values need several hops
		if d := f.change(limit); d >= limit {
			t.Errorf("seed %d: not in force everywhere after %v", seed, d)
		}
	}
}

// Guards against processes that read the store repeatedly after a start of the whole fleet,
// because the read of another process arrives before the answer to their own.
func TestStartOfAllCostsTwoCallsEachAtMost(t *testing.T) {
	const processes = 12
	for seed := range uint64(20) {
		f := &fleet{rng: rand.New(rand.NewPCG(seed, 4)), now: time.Unix(1000, 0), delay: defaultDelay, revision: 1, failsCallsOf: func(int) bool { return false }}
		for i := range processes {
			f.processes = append(f.processes, &process{i: i, n: New(f.rng)})
			f.advance(20 * time.Millisecond)
		}
		f.advance(time.Second)
		if f.calls > 2*processes {
			t.Errorf("seed %d: %d calls by %d starting processes", seed, f.calls, processes)
		}
	}
}

// Guards against several watchers that all go on after a start of the whole fleet.
func TestOneWatcherRemains(t *testing.T) {
	for seed := range uint64(20) {
		f := newFleet(50, seed)
		f.advance(5 * time.Second)
		if n := len(f.watchers()); n != 1 {
			t.Errorf("seed %d: %d processes watch", seed, n)
		}
	}
}

// Guards against a store that every process reads repeatedly for a revision that only a
// damaged message names.
func TestRevisionThatDoesNotExist(t *testing.T) {
	f := newFleet(30, 1)
	f.calls = 0
	const span = 10 * time.Second
	for end := f.now.Add(span); f.now.Before(end); {
		for _, p := range f.processes {
			p.n.ObserveRevision(f.now, 1<<40)
		}
		f.advance(100 * time.Millisecond)
	}
	if limit := int(3*span/(2*WatchTimeout)) + len(f.processes)*int(span/rejectedFor+1); f.calls > limit {
		t.Errorf("%d calls, want %d at most", f.calls, limit)
	}
	if d := f.change(maxPropagation); d >= maxPropagation {
		t.Errorf("a change is not in force after %v", d)
	}
}

// Guards against dropping a revision because a read that began before it was announced did
// not find it.
func TestRevisionAnnouncedDuringReadIsKept(t *testing.T) {
	n := New(rand.New(rand.NewPCG(1, 1)))
	now := time.Unix(1000, 0)
	n.CallStarted(now, Read)
	n.Applied(now, 1)
	n.CallDone(now, Read, now, Answered)
	n.ObserveRevision(now, 2)
	now = now.Add(storeReadAfter + storeReadSpread)
	if c := n.StoreCall(now); c != Read {
		t.Fatalf("call %v, want a read", c)
	}
	n.CallStarted(now, Read)
	begun := now
	now = now.Add(200 * time.Millisecond)
	n.ObserveRevision(now, 3)
	now = now.Add(200 * time.Millisecond)
	n.Applied(now, 2)
	n.CallDone(now, Read, begun, Answered)
	if !n.Behind() {
		t.Error("the revision announced during the read was dropped")
	}
}

// Guards against reading the store while another process already sends the value: over a
// slow link both arrive late.
func TestStoreIsNotReadWhileAProcessSends(t *testing.T) {
	now := time.Unix(1000, 0)
	n := New(rand.New(rand.NewPCG(1, 2)))
	n.Applied(now, 1)
	n.Receive(now, address(1), Digest{Revision: 2, Read: ReadMark{Number: 1, At: now}})
	n.FetchStarted(now)
	n.FetchReceiving()
	now = now.Add(storeReadAfter + storeReadSpread)
	if c := n.StoreCall(now); c != None {
		t.Fatalf("call %v while a process sends the value", c)
	}
	n.FetchDone()
	if c := n.StoreCall(now); c != Read {
		t.Fatalf("call %v once no process sends it", c)
	}
}
