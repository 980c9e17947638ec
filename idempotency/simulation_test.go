package idempotency

import (
	"flag"
	"maps"
	"math/rand/v2"
	"net/netip"
	"os"
	"slices"
	"testing"
	"time"
)

// TestMain fixes the seed of the property tests, so that each run has the same
// result. -rapid.seed on the command line overrides it.
func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "1")
	flag.Parse()
	os.Exit(m.Run())
}

var t0 = time.Unix(1_700_000_000, 0)

const step = 20 * time.Millisecond

// faults holds the probabilities of faults, each per step or per datagram.
type faults struct {
	loss, dup                                     float64
	delay                                         time.Duration // longest delay of a datagram
	crash, pause, partition, suspect, join, leave float64
	restart                                       float64 // planned, with a handover
	maxPause                                      time.Duration
}

// process is one agent: its state machines and the state of its adapter.
type process struct {
	addr        netip.AddrPort
	clockRate   float64 // speed of its clock relative to true time
	voter       *Voter
	transfers   *TransferStore
	incarnation uint64
	electorate  *Electorate
	requester   *Requester
	up          bool
	left        bool
	departedAt  time.Time // true time at which it crashed or left
	startAt     time.Time // true time of the next start after a crash
	joinedAt    time.Time
	pausedUntil time.Time // paused until then
	group       int
	listAt      time.Time                    // time of the last member list
	nextListAt  time.Time                    // when it next receives a member list
	suspects    map[netip.AddrPort]time.Time // falsely suspected until then
	pending     map[uint64]time.Time         // when it calls Start, by request
}

// datagram is a message in transit. Exactly one of its parts is set.
type datagram struct {
	from, to int
	claim    *Claim
	report   *Report
	vote     *Vote
}

// call is one request of a caller and its result.
type call struct {
	key        Key
	begin, end time.Time
	result     EffectKind
	state      State
	ranAt      time.Time
}

type simulation struct {
	cfg               Config
	f                 faults
	rng               *rand.Rand
	now               time.Time
	processes         []*process
	net               map[int64][]datagram // by the step of their arrival
	calls             []*call
	ran               []*call // in order of their first byte
	lastIncarnation   uint64
	acceptedHandovers int           // voters that accepted a handover
	check             func(c *call) // called with each answer
}

func newSimulation(seed uint64, n int, cfg Config, f faults) *simulation {
	w := &simulation{cfg: cfg.withDefaults(), f: f, rng: rand.New(rand.NewPCG(seed, 1)), now: t0, net: map[int64][]datagram{}}
	for range n {
		w.add()
	}
	for _, p := range w.processes {
		w.start(p, true)
	}
	w.run(cfg.Fence()+time.Second, func() {}, false)
	return w
}

func (w *simulation) add() *process {
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(1 + len(w.processes))}), 7000)
	p := &process{addr: addr, clockRate: 1 + (w.rng.Float64()-0.5)*w.cfg.Drift, joinedAt: w.now}
	w.processes = append(w.processes, p)
	return p
}

func (w *simulation) start(p *process, complete bool) {
	w.lastIncarnation++
	p.up = true
	p.incarnation = w.lastIncarnation
	p.transfers = NewTransferStore(w.cfg)
	p.voter = NewVoter(p.addr, w.cfg)
	p.electorate = NewElectorate(w.clock(p), w.cfg)
	p.requester = NewRequester(p.addr, w.lastIncarnation, p.electorate, w.cfg, rand.New(rand.NewPCG(w.lastIncarnation, 2)))
	p.pending = map[uint64]time.Time{}
	p.suspects = map[netip.AddrPort]time.Time{}
	p.listAt = time.Time{}
	w.updateMemberList(p, complete)
	w.fetchTransfers(p)
}

// fetchTransfers lets p ask each other process twice for the handover to its address.
func (w *simulation) fetchTransfers(p *process) {
	for _, o := range slices.Concat(w.processes, w.processes) {
		if o == p || !o.up || o.group != p.group || w.rng.Float64() < w.f.loss {
			continue
		}
		for _, t := range o.transfers.Take(w.clock(o), p.addr, p.incarnation) {
			if w.rng.Float64() >= w.f.loss && p.voter.Accept(w.clock(p), p.incarnation, t) {
				w.acceptedHandovers++
			}
		}
	}
}

// restart stops p as planned and hands its votes over to another process.
func (w *simulation) restart(p *process, down time.Duration) {
	o := w.processes[(slices.Index(w.processes, p)+1)%len(w.processes)]
	for _, t := range p.voter.Handover(w.clock(p), p.incarnation) {
		if o != p && o.up && o.group == p.group && w.rng.Float64() >= w.f.loss {
			o.transfers.Put(w.clock(o), t)
		}
	}
	w.crash(p, down)
}

// clock returns the time on the clock of p.
func (w *simulation) clock(p *process) time.Time {
	return t0.Add(time.Duration(float64(w.now.Sub(t0)) * p.clockRate))
}

// updateMemberList gives p a member list that is up to Skew old.
func (w *simulation) updateMemberList(p *process, complete bool) {
	at := w.now.Add(-time.Duration(w.rng.Float64() * float64(w.cfg.Skew)))
	if at.Before(p.listAt) {
		at = p.listAt
	}
	p.listAt = at
	r := MemberList{Complete: complete}
	for _, o := range w.processes {
		if o != p && o.joinedAt.After(at) {
			continue
		}
		if !o.departedAt.IsZero() && o.departedAt.Before(at) && o != p {
			r.Departed = append(r.Departed, DepartedMember{Addr: o.addr, Age: w.now.Sub(o.departedAt), Left: o.left})
		} else if w.now.After(p.suspects[o.addr]) {
			r.Live = append(r.Live, o.addr)
		} else if p.electorate.members[o.addr] == nil {
			// A member list may drop a process that it contained before, but a list
			// that never contains a new process violates the assumption on Skew.
			r.Departed = append(r.Departed, DepartedMember{Addr: o.addr})
		}
	}
	now := w.clock(p)
	p.electorate.Update(now, r)
	p.electorate.Confirm(now)
	p.voter.Update(now, r)
	p.voter.Confirm(now)
}

// flush carries out the effects of p's requester.
func (w *simulation) flush(i int) {
	p := w.processes[i]
	for _, e := range p.requester.Effects(nil) {
		switch e.Kind {
		case SendClaim:
			w.send(i, e.To, datagram{claim: &e.Claim})
		case SendReport:
			w.send(i, e.To, datagram{report: &e.Report})
		case Run:
			p.pending[e.ID] = w.now.Add(time.Duration(w.rng.Int64N(int64(w.cfg.Expiry))) / 4)
		default:
			c := w.calls[e.ID]
			c.end, c.result, c.state = w.now, e.Kind, e.State
			delete(p.pending, e.ID)
			w.check(c)
		}
	}
}

func (w *simulation) send(from int, to netip.AddrPort, d datagram) {
	d.from = from
	d.to = slices.IndexFunc(w.processes, func(p *process) bool { return p.addr == to })
	copies := 1
	if w.rng.Float64() < w.f.dup {
		copies = 2
	}
	for range copies {
		if from != d.to && (w.rng.Float64() < w.f.loss || w.processes[from].group != w.processes[d.to].group) {
			continue
		}
		at := w.step() + 1 + int64(w.rng.Float64()*float64(w.f.delay/step))
		w.net[at] = append(w.net[at], d)
	}
}

func (w *simulation) step() int64 { return int64(w.now.Sub(t0) / step) }

func (w *simulation) deliver() {
	due := w.net[w.step()]
	delete(w.net, w.step())
	for _, d := range due {
		p := w.processes[d.to]
		if !p.up {
			continue
		}
		if p.pausedUntil.After(w.now) {
			w.net[w.step()+1] = append(w.net[w.step()+1], d)
			continue
		}
		now := w.clock(p)
		switch {
		case d.claim != nil:
			v := p.voter.Claim(now, *d.claim)
			w.send(d.to, w.processes[d.from].addr, datagram{vote: &v})
		case d.report != nil:
			p.voter.Report(now, *d.report)
		case d.vote != nil:
			p.requester.Receive(now, w.processes[d.from].addr, *d.vote)
			w.flush(d.to)
		}
	}
}

// tick does what the adapter of process i does in each step.
func (w *simulation) tick(i int) {
	p := w.processes[i]
	now := w.clock(p)
	for _, id := range slices.Sorted(maps.Keys(p.pending)) {
		if p.pending[id].After(w.now) {
			continue
		}
		delete(p.pending, id)
		if c := w.calls[id]; p.requester.Start(now, id) {
			c.ranAt, c.end, c.result = w.now, w.now, Run
			w.ran = append(w.ran, c)
			w.check(c)
			if w.rng.IntN(2) == 0 {
				p.requester.Finish(now, id, Done, 200)
			}
		}
	}
	p.requester.Tick(now)
	p.voter.Tick(now)
	w.flush(i)
	if !w.now.Before(p.nextListAt) && (p.group == 0 || w.rng.IntN(50) == 0) {
		p.nextListAt = w.now.Add(time.Duration(w.rng.Int64N(int64(w.cfg.Freshness / 2))))
		w.updateMemberList(p, false)
	}
}

// begin lets a caller send a request with key to agent i.
func (w *simulation) begin(i int, key Key) {
	p := w.processes[i]
	if !p.up || p.left || p.pausedUntil.After(w.now) {
		return
	}
	w.calls = append(w.calls, &call{key: key, begin: w.now})
	p.requester.Begin(w.clock(p), uint64(len(w.calls)-1), key)
	w.flush(i)
}

// run passes time, with act and optionally faults in each step.
func (w *simulation) run(d time.Duration, act func(), faulty bool) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(step)
		if faulty {
			w.injectFault()
		}
		act()
		w.deliver()
		for i, p := range w.processes {
			if !p.up && !p.left && !p.startAt.After(w.now) {
				p.departedAt = time.Time{}
				w.start(p, w.rng.IntN(2) == 0 || !faulty)
			}
			if p.up && !p.pausedUntil.After(w.now) {
				w.tick(i)
			}
		}
	}
}

// crash kills p, which starts again after the time down.
func (w *simulation) crash(p *process, down time.Duration) {
	p.up, p.departedAt, p.startAt = false, w.now, w.now.Add(down)
}

func (w *simulation) injectFault() {
	r := w.rng
	p := w.processes[r.IntN(len(w.processes))]
	if p.up && r.Float64() < w.f.crash {
		w.crash(p, time.Duration(r.IntN(5000))*time.Millisecond)
	}
	if p.up && r.Float64() < w.f.restart {
		w.restart(p, time.Duration(r.IntN(8000))*time.Millisecond)
	}
	if p.up && r.Float64() < w.f.pause {
		p.pausedUntil = w.now.Add(time.Duration(r.Float64() * float64(w.f.maxPause)))
	}
	if r.Float64() < w.f.partition {
		cut := r.IntN(2)
		for _, p := range w.processes {
			p.group = cut * r.IntN(2)
		}
	}
	if p.up && r.Float64() < w.f.suspect {
		o := w.processes[r.IntN(len(w.processes))]
		p.suspects[o.addr] = w.now.Add(time.Duration(r.IntN(10)) * time.Second)
	}
	if len(w.processes) < 20 && r.Float64() < w.f.join {
		w.start(w.add(), r.IntN(2) == 0)
	}
	if p.up && !p.left && r.Float64() < w.f.leave {
		p.left, p.up, p.departedAt = true, false, w.now
	}
}
