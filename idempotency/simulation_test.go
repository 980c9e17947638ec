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
	listAt      time.Time                    // time of the last voter list
	nextListAt  time.Time                    // when it next receives a voter list
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
	s := &simulation{cfg: cfg.withDefaults(), f: f, rng: rand.New(rand.NewPCG(seed, 1)), now: t0, net: map[int64][]datagram{}}
	for range n {
		s.add()
	}
	for _, p := range s.processes {
		s.start(p, true)
	}
	s.run(cfg.Fence()+time.Second, func() {}, false)
	return s
}

func (s *simulation) add() *process {
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(1 + len(s.processes))}), 7000)
	p := &process{addr: addr, clockRate: 1 + (s.rng.Float64()-0.5)*s.cfg.Drift, joinedAt: s.now}
	s.processes = append(s.processes, p)
	return p
}

func (s *simulation) start(p *process, complete bool) {
	s.lastIncarnation++
	p.up = true
	p.incarnation = s.lastIncarnation
	p.transfers = NewTransferStore(s.cfg)
	p.voter = NewVoter(p.addr, s.cfg)
	p.electorate = NewElectorate(s.clock(p), s.cfg)
	p.requester = NewRequester(p.addr, s.lastIncarnation, p.electorate, s.cfg, rand.New(rand.NewPCG(s.lastIncarnation, 2)))
	p.pending = map[uint64]time.Time{}
	p.suspects = map[netip.AddrPort]time.Time{}
	p.listAt = time.Time{}
	s.updateVoterList(p, complete)
	s.fetchTransfers(p)
}

// fetchTransfers has p ask each other process twice for the handover to its address.
func (s *simulation) fetchTransfers(p *process) {
	for _, o := range slices.Concat(s.processes, s.processes) {
		if o == p || !o.up || o.group != p.group || s.rng.Float64() < s.f.loss {
			continue
		}
		for _, t := range o.transfers.Take(s.clock(o), p.addr, p.incarnation) {
			if s.rng.Float64() >= s.f.loss && p.voter.Accept(s.clock(p), p.incarnation, t) {
				s.acceptedHandovers++
			}
		}
	}
}

// restart stops p as planned and hands its votes over to another process.
func (s *simulation) restart(p *process, down time.Duration) {
	o := s.processes[(slices.Index(s.processes, p)+1)%len(s.processes)]
	for _, t := range p.voter.Handover(s.clock(p), p.incarnation) {
		if o != p && o.up && o.group == p.group && s.rng.Float64() >= s.f.loss {
			o.transfers.Put(s.clock(o), t)
		}
	}
	s.crash(p, down)
}

// clock returns the time on the clock of p.
func (s *simulation) clock(p *process) time.Time {
	return t0.Add(time.Duration(float64(s.now.Sub(t0)) * p.clockRate))
}

// updateVoterList gives p a voter list that is up to Skew old.
func (s *simulation) updateVoterList(p *process, complete bool) {
	at := s.now.Add(-time.Duration(s.rng.Float64() * float64(s.cfg.Skew)))
	if at.Before(p.listAt) {
		at = p.listAt
	}
	p.listAt = at
	list := VoterList{Complete: complete}
	for _, o := range s.processes {
		if o != p && o.joinedAt.After(at) {
			continue
		}
		if !o.departedAt.IsZero() && o.departedAt.Before(at) && o != p {
			list.Departed = append(list.Departed, DepartedVoter{Addr: o.addr, Age: s.now.Sub(o.departedAt), Left: o.left})
		} else if s.now.After(p.suspects[o.addr]) {
			list.Live = append(list.Live, o.addr)
		} else if p.electorate.members[o.addr] == nil {
			// A voter list may drop a process that it contained before, but a list
			// that never contains a new process violates the assumption on Skew.
			list.Departed = append(list.Departed, DepartedVoter{Addr: o.addr})
		}
	}
	now := s.clock(p)
	p.electorate.Update(now, list)
	p.electorate.Confirm(now)
	p.voter.Update(now, list)
	p.voter.Confirm(now)
}

// flush carries out the effects of p's requester.
func (s *simulation) flush(i int) {
	p := s.processes[i]
	for _, e := range p.requester.Effects(nil) {
		switch e.Kind {
		case SendClaim:
			s.send(i, e.To, datagram{claim: &e.Claim})
		case SendReport:
			s.send(i, e.To, datagram{report: &e.Report})
		case Run:
			p.pending[e.ID] = s.now.Add(time.Duration(s.rng.Int64N(int64(s.cfg.Expiry))) / 4)
		default:
			c := s.calls[e.ID]
			c.end, c.result, c.state = s.now, e.Kind, e.State
			delete(p.pending, e.ID)
			s.check(c)
		}
	}
}

func (s *simulation) send(from int, to netip.AddrPort, d datagram) {
	d.from = from
	d.to = slices.IndexFunc(s.processes, func(p *process) bool { return p.addr == to })
	copies := 1
	if s.rng.Float64() < s.f.dup {
		copies = 2
	}
	for range copies {
		if from != d.to && (s.rng.Float64() < s.f.loss || s.processes[from].group != s.processes[d.to].group) {
			continue
		}
		at := s.stepNumber() + 1 + int64(s.rng.Float64()*float64(s.f.delay/step))
		s.net[at] = append(s.net[at], d)
	}
}

func (s *simulation) stepNumber() int64 { return int64(s.now.Sub(t0) / step) }

func (s *simulation) deliver() {
	due := s.net[s.stepNumber()]
	delete(s.net, s.stepNumber())
	for _, d := range due {
		p := s.processes[d.to]
		if !p.up {
			continue
		}
		if p.pausedUntil.After(s.now) {
			s.net[s.stepNumber()+1] = append(s.net[s.stepNumber()+1], d)
			continue
		}
		now := s.clock(p)
		switch {
		case d.claim != nil:
			v := p.voter.Claim(now, *d.claim)
			s.send(d.to, s.processes[d.from].addr, datagram{vote: &v})
		case d.report != nil:
			p.voter.Report(now, *d.report)
		case d.vote != nil:
			p.requester.Receive(now, s.processes[d.from].addr, *d.vote)
			s.flush(d.to)
		}
	}
}

// tick does what the adapter of process i does in each step.
func (s *simulation) tick(i int) {
	p := s.processes[i]
	now := s.clock(p)
	for _, id := range slices.Sorted(maps.Keys(p.pending)) {
		if p.pending[id].After(s.now) {
			continue
		}
		delete(p.pending, id)
		if c := s.calls[id]; p.requester.Start(now, id) {
			c.ranAt, c.end, c.result = s.now, s.now, Run
			s.ran = append(s.ran, c)
			s.check(c)
			if s.rng.IntN(2) == 0 {
				p.requester.Finish(now, id, Done, 200)
			}
		}
	}
	p.requester.Tick(now)
	p.voter.Tick(now)
	s.flush(i)
	if !s.now.Before(p.nextListAt) && (p.group == 0 || s.rng.IntN(50) == 0) {
		p.nextListAt = s.now.Add(time.Duration(s.rng.Int64N(int64(s.cfg.Freshness / 2))))
		s.updateVoterList(p, false)
	}
}

// begin sends a caller's request with key to agent i.
func (s *simulation) begin(i int, key Key) {
	p := s.processes[i]
	if !p.up || p.left || p.pausedUntil.After(s.now) {
		return
	}
	s.calls = append(s.calls, &call{key: key, begin: s.now})
	p.requester.Begin(s.clock(p), uint64(len(s.calls)-1), key)
	s.flush(i)
}

// run passes time, with act and optionally faults in each step.
func (s *simulation) run(d time.Duration, act func(), faulty bool) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(step)
		if faulty {
			s.injectFault()
		}
		act()
		s.deliver()
		for i, p := range s.processes {
			if !p.up && !p.left && !p.startAt.After(s.now) {
				p.departedAt = time.Time{}
				s.start(p, s.rng.IntN(2) == 0 || !faulty)
			}
			if p.up && !p.pausedUntil.After(s.now) {
				s.tick(i)
			}
		}
	}
}

// crash kills p, which starts again after the time down.
func (s *simulation) crash(p *process, down time.Duration) {
	p.up, p.departedAt, p.startAt = false, s.now, s.now.Add(down)
}

func (s *simulation) injectFault() {
	r := s.rng
	p := s.processes[r.IntN(len(s.processes))]
	if p.up && r.Float64() < s.f.crash {
		s.crash(p, time.Duration(r.IntN(5000))*time.Millisecond)
	}
	if p.up && r.Float64() < s.f.restart {
		s.restart(p, time.Duration(r.IntN(8000))*time.Millisecond)
	}
	if p.up && r.Float64() < s.f.pause {
		p.pausedUntil = s.now.Add(time.Duration(r.Float64() * float64(s.f.maxPause)))
	}
	if r.Float64() < s.f.partition {
		cut := r.IntN(2)
		for _, p := range s.processes {
			p.group = cut * r.IntN(2)
		}
	}
	if p.up && r.Float64() < s.f.suspect {
		o := s.processes[r.IntN(len(s.processes))]
		p.suspects[o.addr] = s.now.Add(time.Duration(r.IntN(10)) * time.Second)
	}
	if len(s.processes) < 20 && r.Float64() < s.f.join {
		s.start(s.add(), r.IntN(2) == 0)
	}
	if p.up && !p.left && r.Float64() < s.f.leave {
		p.left, p.up, p.departedAt = true, false, s.now
	}
}
