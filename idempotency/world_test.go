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

// TestMain fixes the seed of the generated tests, so that the verdict is the
// same in every run. -rapid.seed on the command line goes before it.
func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "1")
	flag.Parse()
	os.Exit(m.Run())
}

var t0 = time.Unix(1_700_000_000, 0)

const step = 20 * time.Millisecond

// faults are the rates of what goes wrong, each per step or per datagram.
type faults struct {
	loss, dup                                     float64
	delay                                         time.Duration // longest delay of a datagram
	crash, freeze, partition, suspect, join, goes float64
	restart                                       float64 // planned, with a handover
	longestFreeze                                 time.Duration
}

// process is one agent: its machines and what its adapter holds.
type process struct {
	addr     netip.AddrPort
	rate     float64 // of its clock against true time
	home     *Voter
	depot    *TransferStore
	inc      uint64
	elect    *Electorate
	req      *Requester
	up       bool
	left     bool
	goneAt   time.Time // true time at which it crashed or left
	startAt  time.Time // true time of the next start after a crash
	joinedAt time.Time
	frozen   time.Time // until then it does nothing
	group    int
	viewAt   time.Time                    // of the roster that it saw last
	seeAt    time.Time                    // when it next sees a roster
	suspects map[netip.AddrPort]time.Time // falsely taken for gone until then
	pending  map[uint64]time.Time         // when it gets to call Start
}

// datagram is a message on its way. Exactly one of its parts is set.
type datagram struct {
	from, to int
	claim    *Claim
	report   *Report
	vote     *Vote
}

// call is one request of a caller, and what became of it.
type call struct {
	key        Key
	begin, end time.Time
	result     EffectKind
	state      State
	ranAt      time.Time
}

type world struct {
	cfg       Config
	f         faults
	rng       *rand.Rand
	now       time.Time
	ps        []*process
	net       map[int64][]datagram // by the step in which they arrive
	calls     []*call
	ran       []*call // in order of their first byte
	inc       uint64
	inherited int           // homes that took over
	check     func(c *call) // called with each answer
}

func newWorld(seed uint64, n int, cfg Config, f faults) *world {
	w := &world{cfg: cfg.withDefaults(), f: f, rng: rand.New(rand.NewPCG(seed, 1)), now: t0, net: map[int64][]datagram{}}
	for range n {
		w.add()
	}
	for _, p := range w.ps {
		w.boot(p, true)
	}
	w.run(cfg.Fence()+time.Second, func() {}, false)
	return w
}

func (w *world) add() *process {
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(1 + len(w.ps))}), 7000)
	p := &process{addr: addr, rate: 1 + (w.rng.Float64()-0.5)*w.cfg.Drift, joinedAt: w.now}
	w.ps = append(w.ps, p)
	return p
}

func (w *world) boot(p *process, complete bool) {
	w.inc++
	p.up = true
	p.inc = w.inc
	p.depot = NewTransferStore(w.cfg)
	p.home = NewVoter(p.addr, w.cfg)
	p.elect = NewElectorate(w.clock(p), w.cfg)
	p.req = NewRequester(p.addr, w.inc, p.elect, w.cfg, rand.New(rand.NewPCG(w.inc, 2)))
	p.pending = map[uint64]time.Time{}
	p.suspects = map[netip.AddrPort]time.Time{}
	p.viewAt = time.Time{}
	w.see(p, complete)
	w.takeOver(p)
}

// takeOver lets p ask the others, twice, for what its address handed over.
func (w *world) takeOver(p *process) {
	for _, o := range slices.Concat(w.ps, w.ps) {
		if o == p || !o.up || o.group != p.group || w.rng.Float64() < w.f.loss {
			continue
		}
		for _, t := range o.depot.Take(w.clock(o), p.addr, p.inc) {
			if w.rng.Float64() >= w.f.loss && p.home.Accept(w.clock(p), p.inc, t) {
				w.inherited++
			}
		}
	}
}

// restart stops p as planned and hands its votes to another process.
func (w *world) restart(p *process, down time.Duration) {
	o := w.ps[(slices.Index(w.ps, p)+1)%len(w.ps)]
	for _, t := range p.home.Handover(w.clock(p), p.inc) {
		if o != p && o.up && o.group == p.group && w.rng.Float64() >= w.f.loss {
			o.depot.Put(w.clock(o), t)
		}
	}
	w.crash(p, down)
}

// clock is the time that p reads.
func (w *world) clock(p *process) time.Time {
	return t0.Add(time.Duration(float64(w.now.Sub(t0)) * p.rate))
}

// see gives p a roster that is up to Skew old.
func (w *world) see(p *process, complete bool) {
	at := w.now.Add(-time.Duration(w.rng.Float64() * float64(w.cfg.Skew)))
	if at.Before(p.viewAt) {
		at = p.viewAt
	}
	p.viewAt = at
	r := MemberList{Complete: complete}
	for _, o := range w.ps {
		if o != p && o.joinedAt.After(at) {
			continue
		}
		if !o.goneAt.IsZero() && o.goneAt.Before(at) && o != p {
			r.Departed = append(r.Departed, DepartedMember{Addr: o.addr, Age: w.now.Sub(o.goneAt), Left: o.left})
		} else if w.now.After(p.suspects[o.addr]) {
			r.Live = append(r.Live, o.addr)
		} else if p.elect.members[o.addr] == nil {
			// A roster may drop a process that it named before, but one that
			// never names an arrival breaks the assumption on Skew.
			r.Departed = append(r.Departed, DepartedMember{Addr: o.addr})
		}
	}
	now := w.clock(p)
	p.elect.Update(now, r)
	p.elect.Confirm(now)
	p.home.Update(now, r)
	p.home.Confirm(now)
}

// flush carries out the effects of p.
func (w *world) flush(i int) {
	p := w.ps[i]
	for _, e := range p.req.Effects(nil) {
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

func (w *world) send(from int, to netip.AddrPort, d datagram) {
	d.from = from
	d.to = slices.IndexFunc(w.ps, func(p *process) bool { return p.addr == to })
	copies := 1
	if w.rng.Float64() < w.f.dup {
		copies = 2
	}
	for range copies {
		if from != d.to && (w.rng.Float64() < w.f.loss || w.ps[from].group != w.ps[d.to].group) {
			continue
		}
		at := w.step() + 1 + int64(w.rng.Float64()*float64(w.f.delay/step))
		w.net[at] = append(w.net[at], d)
	}
}

func (w *world) step() int64 { return int64(w.now.Sub(t0) / step) }

func (w *world) deliver() {
	due := w.net[w.step()]
	delete(w.net, w.step())
	for _, d := range due {
		p := w.ps[d.to]
		if !p.up {
			continue
		}
		if p.frozen.After(w.now) {
			w.net[w.step()+1] = append(w.net[w.step()+1], d)
			continue
		}
		now := w.clock(p)
		switch {
		case d.claim != nil:
			v := p.home.Claim(now, *d.claim)
			w.send(d.to, w.ps[d.from].addr, datagram{vote: &v})
		case d.report != nil:
			p.home.Report(now, *d.report)
		case d.vote != nil:
			p.req.Receive(now, w.ps[d.from].addr, *d.vote)
			w.flush(d.to)
		}
	}
}

// tick lets p do what its adapter does in each step.
func (w *world) tick(i int) {
	p := w.ps[i]
	now := w.clock(p)
	for _, id := range slices.Sorted(maps.Keys(p.pending)) {
		if p.pending[id].After(w.now) {
			continue
		}
		delete(p.pending, id)
		if c := w.calls[id]; p.req.Start(now, id) {
			c.ranAt, c.end, c.result = w.now, w.now, Run
			w.ran = append(w.ran, c)
			w.check(c)
			if w.rng.IntN(2) == 0 {
				p.req.Finish(now, id, Done, 200)
			}
		}
	}
	p.req.Tick(now)
	p.home.Tick(now)
	w.flush(i)
	if !w.now.Before(p.seeAt) && (p.group == 0 || w.rng.IntN(50) == 0) {
		p.seeAt = w.now.Add(time.Duration(w.rng.Int64N(int64(w.cfg.Freshness / 2))))
		w.see(p, false)
	}
}

// begin lets a caller send a request with key to agent i.
func (w *world) begin(i int, key Key) {
	p := w.ps[i]
	if !p.up || p.left || p.frozen.After(w.now) {
		return
	}
	w.calls = append(w.calls, &call{key: key, begin: w.now})
	p.req.Begin(w.clock(p), uint64(len(w.calls)-1), key)
	w.flush(i)
}

// run lets time pass, with act and faults in each step.
func (w *world) run(d time.Duration, act func(), faulty bool) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(step)
		if faulty {
			w.fault()
		}
		act()
		w.deliver()
		for i, p := range w.ps {
			if !p.up && !p.left && !p.startAt.After(w.now) {
				p.goneAt = time.Time{}
				w.boot(p, w.rng.IntN(2) == 0 || !faulty)
			}
			if p.up && !p.frozen.After(w.now) {
				w.tick(i)
			}
		}
	}
}

// crash kills p, which starts again after the time down.
func (w *world) crash(p *process, down time.Duration) {
	p.up, p.goneAt, p.startAt = false, w.now, w.now.Add(down)
}

func (w *world) fault() {
	r := w.rng
	p := w.ps[r.IntN(len(w.ps))]
	if p.up && r.Float64() < w.f.crash {
		w.crash(p, time.Duration(r.IntN(5000))*time.Millisecond)
	}
	if p.up && r.Float64() < w.f.restart {
		w.restart(p, time.Duration(r.IntN(8000))*time.Millisecond)
	}
	if p.up && r.Float64() < w.f.freeze {
		p.frozen = w.now.Add(time.Duration(r.Float64() * float64(w.f.longestFreeze)))
	}
	if r.Float64() < w.f.partition {
		cut := r.IntN(2)
		for _, p := range w.ps {
			p.group = cut * r.IntN(2)
		}
	}
	if p.up && r.Float64() < w.f.suspect {
		o := w.ps[r.IntN(len(w.ps))]
		p.suspects[o.addr] = w.now.Add(time.Duration(r.IntN(10)) * time.Second)
	}
	if len(w.ps) < 20 && r.Float64() < w.f.join {
		w.boot(w.add(), r.IntN(2) == 0)
	}
	if p.up && !p.left && r.Float64() < w.f.goes {
		p.left, p.up, p.goneAt = true, false, w.now
	}
}
