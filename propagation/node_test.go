package propagation

import (
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"
)

// fleet is processes, a store and a network in one goroutine and simulated time.
type fleet struct {
	rng       *rand.Rand
	now       time.Time
	processes []*process
	revision  uint64 // in the store
	calls     int    // of the store
	loss      float64
	hop       time.Duration // from process to process
	deaf      bool          // watches receive nothing
	forgets   bool          // every watch is refused for want of history
	refuses   func(i int) bool
	later     []event
}

type event struct {
	at time.Time
	do func()
}

type process struct {
	i       int
	n       *Node
	dead    bool
	call    Call // under way
	begun   time.Time
	watched uint64 // revision that the watch began with
	refused bool   // the store refused the call when it began
}

const (
	step     = 5 * time.Millisecond
	answers  = 4 * time.Millisecond // of the store
	usualHop = 2 * time.Millisecond
)

func newFleet(processes int, seed uint64) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 3)), now: time.Unix(1000, 0), hop: usualHop, revision: 1, refuses: func(int) bool { return false }}
	for i := range processes {
		f.processes = append(f.processes, &process{i: i, n: New(f.rng)})
	}
	f.pass(5 * time.Second)
	return f
}

func address(i int) netip.AddrPort {
	var ip [4]byte
	binary.BigEndian.PutUint32(ip[:], uint32(i)+10<<24)
	return netip.AddrPortFrom(netip.AddrFrom4(ip), 1)
}

func (f *fleet) after(d time.Duration, do func()) {
	f.later = append(f.later, event{f.now.Add(d), do})
}

// pass lets time go by.
func (f *fleet) pass(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(step)
		due := f.later
		f.later = nil
		for _, e := range due {
			if e.at.After(f.now) {
				f.later = append(f.later, e)
				continue
			}
			e.do()
		}
		f.gossip()
		for _, p := range f.processes {
			if !p.dead {
				f.act(p)
			}
		}
	}
}

// gossip has a process learn, by way of an agent, of a revision that another one knows.
func (f *fleet) gossip() {
	a, b := f.processes[f.rng.IntN(len(f.processes))], f.processes[f.rng.IntN(len(f.processes))]
	if !a.dead {
		b.n.ObserveRevision(f.now, a.n.newestKnown)
	}
}

// act does what a process decides.
func (f *fleet) act(p *process) {
	if p.call == Watch && (f.forgets || f.revision > p.watched && !f.deaf || f.now.Sub(p.begun) >= WatchTimeout) {
		f.answer(p)
	}
	if c := p.n.StoreCall(f.now); c != None {
		f.calls++
		p.n.CallStarted(f.now, c)
		p.call, p.begun, p.watched = c, f.now, p.n.revision
		p.refused = f.refuses(p.i)
		if c == Read || p.refused {
			f.after(answers, func() { f.answer(p) })
		}
	}
	if from, ok := p.n.Fetch(f.now); ok {
		if !from.IsValid() {
			from = address(f.rng.IntN(len(f.processes)))
		}
		p.n.FetchStarted(f.now)
		f.after(2*f.hop, func() { f.fetch(p, from) })
	}
	if w, ok := p.n.NextDigest(f.now); ok {
		for range Fanout {
			to := f.processes[f.rng.IntN(len(f.processes))]
			if f.rng.Float64() >= f.loss {
				f.after(f.hop, func() { f.receive(to, p, f.carried(w)) })
			}
		}
	}
}

func (f *fleet) receive(p, from *process, w Digest) {
	if p.dead {
		return
	}
	if answer, ok := p.n.Receive(f.now, address(from.i), w); ok {
		f.after(f.hop, func() { from.n.Receive(f.now, address(p.i), f.carried(answer)) })
	}
}

// carried returns a digest as it arrives: it has the age of a read, and not how long it was
// under way.
func (f *fleet) carried(w Digest) Digest {
	if w.Read.Number != 0 {
		w.Read.At = w.Read.At.Add(f.hop)
	}
	return w
}

func (f *fleet) answer(p *process) {
	if p.dead || p.call == None {
		return
	}
	c, o := p.call, Answered
	p.call = None
	if p.refused || f.refuses(p.i) {
		o = Failed
	} else if c == Watch && f.forgets {
		o = HistoryLost
	} else if c == Read || !f.deaf {
		f.take(p, f.revision)
	}
	p.n.CallDone(f.now, c, p.begun, o)
}

// cutWatches ends the watches under way.
func (f *fleet) cutWatches() {
	for _, p := range f.processes {
		if p.call == Watch {
			f.answer(p)
		}
	}
}

func (f *fleet) fetch(p *process, from netip.AddrPort) {
	other := f.processes[slices.IndexFunc(f.processes, func(o *process) bool { return address(o.i) == from })]
	if !other.dead {
		f.take(p, other.n.revision)
	}
	p.n.FetchDone()
}

func (f *fleet) take(p *process, revision uint64) {
	p.n.Applied(f.now, revision)
}

// change writes a new value and returns how long it takes to all that live, at most
// limit.
func (f *fleet) change(limit time.Duration) time.Duration {
	f.revision++
	begun := f.now
	for f.now.Sub(begun) < limit && !f.settled() {
		f.pass(step)
	}
	return f.now.Sub(begun)
}

func (f *fleet) settled() bool {
	return !slices.ContainsFunc(f.processes, func(p *process) bool { return !p.dead && p.n.revision < f.revision })
}

// watchers returns the processes that have a watch under way.
func (f *fleet) watchers() (list []*process) {
	for _, p := range f.processes {
		if p.n.watcher && !p.dead {
			list = append(list, p)
		}
	}
	return list
}

// bound is the time in which a change has to be in force everywhere.
const bound = 3 * time.Second

// Guards against calls of the store that grow with the number of processes.
func TestCallsDoNotGrowWithProcesses(t *testing.T) {
	const span, changes = 60 * time.Second, 30
	for _, processes := range []int{1, 5, 30, 300} {
		f := newFleet(processes, 7)
		f.loss = 0.01
		f.calls = 0
		var slowest, sum time.Duration
		for range changes {
			d := f.change(bound)
			slowest, sum = max(slowest, d), sum+d
			f.pass(max(0, span/changes-d))
		}
		t.Logf("%d processes: %d calls, in force everywhere after %v, slowest %v", processes, f.calls, sum/changes, slowest)
		if limit := int(3*span/(2*WatchTimeout)) + 2*changes; f.calls > limit {
			t.Errorf("%d processes: %d calls in %v with %d changes, want %d at most", processes, f.calls, span, changes, limit)
		}
		if slowest >= bound {
			t.Errorf("%d processes: a change is not in force everywhere after %v", processes, slowest)
		}
	}
}

// Guards against a change that is not in force since the one process that watches ended, is
// turned away, or is told nothing.
func TestChangeArrivesWithoutTheWatcher(t *testing.T) {
	for _, c := range []struct {
		name string
		harm func(f *fleet, watcher *process)
	}{
		{"killed", func(_ *fleet, w *process) { w.dead = true }},
		{"turned away", func(f *fleet, w *process) { f.refuses = func(i int) bool { return i == w.i } }},
		{"half turned away", func(f *fleet, w *process) { f.refuses = func(i int) bool { return i%2 == w.i%2 } }},
		{"deaf", func(f *fleet, _ *process) { f.deaf = true }},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, processes := range []int{3, 12, 100} {
				for seed := range uint64(20) {
					f := newFleet(processes, seed)
					f.loss = 0.01
					list := f.watchers()
					if len(list) == 0 {
						t.Fatal("nobody watches")
					}
					c.harm(f, list[0])
					if d := f.change(bound); d >= bound {
						t.Errorf("%d processes, seed %d: not in force everywhere after %v", processes, seed, d)
					}
				}
			}
		})
	}
}

// Guards against a store that nobody reads for over a second after it was away for a moment:
// what it lost shows to nobody as long.
func TestStoreIsReadSoonAfterAMomentAway(t *testing.T) {
	const away, soon = 300 * time.Millisecond, 500 * time.Millisecond
	for _, processes := range []int{1, 2, 30} {
		for seed := range uint64(20) {
			f := newFleet(processes, seed)
			f.refuses = func(int) bool { return true }
			f.cutWatches()
			f.pass(away)
			f.refuses = func(int) bool { return false }
			back := f.now
			for f.now.Sub(back) < bound && !slices.ContainsFunc(f.processes, func(p *process) bool { return p.n.ReadAt().After(back) }) {
				f.pass(step)
			}
			if took := f.now.Sub(back); took > soon {
				t.Errorf("%d processes, seed %d: read %v after the store's return", processes, seed, took)
			}
		}
	}
}

// Guards against a store that is called as fast as it answers, since it serves reads and
// refuses every watch.
func TestRefusedWatchesAreSpaced(t *testing.T) {
	const span = 20 * time.Second
	for _, processes := range []int{1, 2, 30} {
		f := newFleet(processes, 3)
		f.forgets = true
		f.calls = 0
		f.pass(span)
		// A read and a watch a Wait, and as much again for other processes that try.
		if limit := 4 * int(span/WatchTimeout); f.calls > limit {
			t.Errorf("%d processes: %d calls in %v, want %d at most", processes, f.calls, span, limit)
		}
		if d := f.change(bound); d >= bound {
			t.Errorf("%d processes: not in force everywhere after %v", processes, d)
		}
		f.forgets = false
		f.pass(2 * failMax)
		if len(f.watchers()) == 0 {
			t.Errorf("%d processes: nobody watches once watches work again", processes)
		}
	}
}

// Guards against a read that stays new while it is told round and round on full links, so
// that nobody reads the store.
func TestReadDoesNotGrowYoungerByBeingTold(t *testing.T) {
	for seed := range uint64(20) {
		f := newFleet(23, seed)
		f.hop = 250 * time.Millisecond
		f.pass(2 * time.Second)
		for _, p := range f.watchers() {
			p.dead = true
		}
		const limit = bound + 2*time.Second // values take several ways
		if d := f.change(limit); d >= limit {
			t.Errorf("seed %d: not in force everywhere after %v", seed, d)
		}
	}
}

// Guards against processes that read the store without a pause after a start of everything,
// since another one's read reached them before the answer to their own.
func TestStartOfAllCostsOneReadEach(t *testing.T) {
	const processes = 12
	for seed := range uint64(20) {
		f := &fleet{rng: rand.New(rand.NewPCG(seed, 4)), now: time.Unix(1000, 0), hop: usualHop, revision: 1, refuses: func(int) bool { return false }}
		for i := range processes {
			f.processes = append(f.processes, &process{i: i, n: New(f.rng)})
			f.pass(20 * time.Millisecond)
		}
		f.pass(time.Second)
		if f.calls > 2*processes {
			t.Errorf("seed %d: %d calls by %d processes that start", seed, f.calls, processes)
		}
	}
}

// Guards against several watchers that all go on after a start of everything.
func TestOneWatcherRemains(t *testing.T) {
	for seed := range uint64(20) {
		f := newFleet(50, seed)
		f.pass(5 * time.Second)
		if n := len(f.watchers()); n != 1 {
			t.Errorf("seed %d: %d processes watch", seed, n)
		}
	}
}

// Guards against a store that every process reads again and again for a revision that a
// damaged message names.
func TestRevisionThatDoesNotExist(t *testing.T) {
	f := newFleet(30, 1)
	f.calls = 0
	const span = 10 * time.Second
	for end := f.now.Add(span); f.now.Before(end); {
		for _, p := range f.processes {
			p.n.ObserveRevision(f.now, 1<<40)
		}
		f.pass(100 * time.Millisecond)
	}
	if limit := int(3*span/(2*WatchTimeout)) + len(f.processes)*int(span/rejectedFor+1); f.calls > limit {
		t.Errorf("%d calls, want %d at most", f.calls, limit)
	}
	if d := f.change(bound); d >= bound {
		t.Errorf("a change is not in force after %v", d)
	}
}

// Guards against a revision that is given up since a read that began before it was announced
// did not find it.
func TestNewerValueThanTheReadBeganWithIsBelieved(t *testing.T) {
	n := New(rand.New(rand.NewPCG(1, 1)))
	now := time.Unix(1000, 0)
	n.CallStarted(now, Read)
	n.Applied(now, 1)
	n.CallDone(now, Read, now, Answered)
	n.ObserveRevision(now, 2)
	now = now.Add(storeAfter + storeSpan)
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
		t.Error("the newer value is no longer missed")
	}
}

// Guards against a store that is read while another process already sends the value: on a
// thin link both arrive late.
func TestStoreIsNotReadWhileAProcessSends(t *testing.T) {
	now := time.Unix(1000, 0)
	n := New(rand.New(rand.NewPCG(1, 2)))
	n.Applied(now, 1)
	n.Receive(now, address(1), Digest{Revision: 2, Read: ReadMark{Number: 1, At: now}})
	n.FetchStarted(now)
	n.FetchReceiving()
	now = now.Add(storeAfter + storeSpan)
	if c := n.StoreCall(now); c != None {
		t.Fatalf("call %v while a process sends the value", c)
	}
	n.FetchDone()
	if c := n.StoreCall(now); c != Read {
		t.Fatalf("call %v once no process sends it", c)
	}
}
