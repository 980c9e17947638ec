package membership

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"
)

// exchange carries messages between state machines in one process, with
// virtual time, loss, duplication, delay and cuts. It is the fake at the
// interface of Machine and Announcer, deterministic for a given seed.
type exchange struct {
	t     testing.TB
	now   time.Time
	start time.Time
	rng   *rand.Rand
	procs []*proc
	by    map[netip.AddrPort]*proc
	slots [exchangeSlots][]delivery
	seed  uint64

	loss      float64
	duplicate float64
	delay     func(from, to *proc) time.Duration
	cut       func(from, to *proc) bool // true drops
	encode    bool                      // send through Encode and Decode
	onChange  func(p *proc, c *Change)
}

const (
	exchangeStep  = 5 * time.Millisecond
	exchangeSlots = 256
	tickEvery     = 100 * time.Millisecond
)

type delivery struct {
	from netip.AddrPort
	to   *proc
	msg  *Message
}

// proc is one process: a balancer if machine is set, else an agent.
type proc struct {
	machine   *Machine
	announcer *Announcer
	rec       Record
	phase     int
	stopped   bool // killed
	paused    bool
	inbox     []delivery // while paused: what the socket buffer holds
	sentBytes int
	sentMsgs  int
}

func newExchange(t testing.TB, seed uint64) *exchange {
	start := time.Unix(1_000_000, 0)
	return &exchange{
		t: t, now: start, start: start, seed: seed, rng: rand.New(rand.NewPCG(seed, 1)), by: map[netip.AddrPort]*proc{},
		delay: func(_, _ *proc) time.Duration { return exchangeStep },
	}
}

func addrOf(role Role, i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(role), byte(i >> 8), byte(i)}), uint16(7000+i>>16))
}

func zoneName(z int) string { return fmt.Sprintf("zone-%02d", z) }

// record returns the record of process i of zone z; three zones make a region.
func (x *exchange) record(role Role, i, z int) Record {
	r := Record{
		Addr: addrOf(role, i), Role: role, State: StateReady, Weight: 100,
		Incarnation: uint64(x.now.UnixNano()), Zone: zoneName(z), Region: fmt.Sprintf("region-%d", z/3),
	}
	if role == RoleAgent {
		r.Service = uint32(1 + i%4)
	}
	return r
}

// balancer adds a balancer, or restarts the one with the same number.
func (x *exchange) balancer(i, z int, seeds ...netip.AddrPort) *proc {
	rec := x.record(RoleBalancer, i, z)
	m, err := NewMachine(Config{Self: rec, Seeds: seeds, Seed: x.seed + uint64(i)})
	if err != nil {
		x.t.Fatal(err)
	}
	return x.add(&proc{machine: m, rec: rec})
}

// agent adds an agent, or restarts the one with the same number.
func (x *exchange) agent(i, z int, seeds ...netip.AddrPort) *proc {
	rec := x.record(RoleAgent, i, z)
	a, err := NewAnnouncer(AnnouncerConfig{Self: rec, Seeds: seeds, Seed: x.seed + uint64(i)})
	if err != nil {
		x.t.Fatal(err)
	}
	return x.add(&proc{announcer: a, rec: rec})
}

func (x *exchange) add(p *proc) *proc {
	p.phase = x.rng.IntN(int(tickEvery / exchangeStep))
	if old := x.by[p.rec.Addr]; old != nil {
		old.stopped = true
	}
	x.by[p.rec.Addr] = p
	x.procs = append(x.procs, p)
	return p
}

// run passes time in steps until d has passed or done, if given, holds. It
// reports whether done held.
func (x *exchange) run(d time.Duration, done func() bool) bool {
	for end := x.now.Add(d); x.now.Before(end); {
		x.step()
		if done != nil && done() {
			return true
		}
	}
	return false
}

func (x *exchange) step() {
	x.now = x.now.Add(exchangeStep)
	n := int(x.now.Sub(x.start) / exchangeStep)
	slot := &x.slots[n%exchangeSlots]
	if len(*slot) > 100*len(x.procs)+1000 {
		x.t.Fatalf("message storm: %d messages within %v", len(*slot), exchangeStep)
	}
	for _, d := range *slot {
		x.deliver(d)
	}
	clear(*slot)
	*slot = (*slot)[:0]
	for _, p := range x.procs {
		if p.stopped || p.paused || n%int(tickEvery/exchangeStep) != p.phase {
			continue
		}
		p.tick(x.now)
		x.flush(p)
	}
}

func (p *proc) tick(now time.Time) {
	if p.machine != nil {
		p.machine.Tick(now)
	} else {
		p.announcer.Tick(now)
	}
}

func (x *exchange) deliver(d delivery) {
	p := d.to
	if p.stopped {
		return
	}
	if p.paused {
		if len(p.inbox) < 100 {
			p.inbox = append(p.inbox, d)
		}
		return
	}
	if p.machine != nil {
		p.machine.Receive(x.now, d.from, d.msg)
	} else {
		p.announcer.Receive(x.now, d.from, d.msg)
	}
	x.flush(p)
}

// resume lets a paused process go on; it finds what waited in its socket.
func (x *exchange) resume(p *proc) {
	p.paused = false
	for _, d := range p.inbox {
		x.deliver(d)
	}
	p.inbox = nil
}

func (x *exchange) flush(p *proc) {
	var out []Envelope
	if p.machine != nil {
		out = p.machine.Outbox()
		changes := p.machine.Changes()
		for i := range changes {
			if x.onChange != nil {
				x.onChange(p, &changes[i])
			}
		}
	} else {
		out = p.announcer.Outbox()
	}
	for _, e := range out {
		p.sentMsgs++
		p.sentBytes += wireSize(e.Msg)
		x.carry(p, e)
	}
}

func (x *exchange) carry(p *proc, e Envelope) {
	to := x.by[e.To]
	if x.encode {
		e.Msg = x.recode(e.Msg)
	}
	if to == nil || x.cut != nil && x.cut(p, to) {
		return
	}
	copies := 1
	if x.duplicate > 0 && x.rng.Float64() < x.duplicate {
		copies = 2
	}
	for ; copies > 0; copies-- {
		if x.loss > 0 && x.rng.Float64() < x.loss {
			continue
		}
		at := x.now.Add(x.delay(p, to))
		n := int(at.Sub(x.start)/exchangeStep) % exchangeSlots
		x.slots[n] = append(x.slots[n], delivery{p.rec.Addr, to, e.Msg})
	}
}

func (x *exchange) recode(m *Message) *Message {
	b, err := Encode(m)
	if err != nil {
		x.t.Fatalf("encode %+v: %v", m, err)
	}
	got, err := Decode(b)
	if err != nil {
		x.t.Fatalf("decode %+v: %v", m, err)
	}
	return got
}

// fleet adds n balancers over the zones, all alike seeded with the first one,
// and waits until all know all.
func (x *exchange) fleet(n, zones int) []*proc {
	list := make([]*proc, n)
	for i := range list {
		list[i] = x.balancer(i, i*zones/n, addrOf(RoleBalancer, 0))
	}
	x.acquaint()
	return list
}

// acquaint hands every machine the record of every process, as a bulk
// transfer would.
func (x *exchange) acquaint() {
	var all []Record
	for _, p := range x.procs {
		if !p.stopped {
			all = append(all, p.self())
		}
	}
	for _, p := range x.procs {
		if p.machine != nil {
			p.machine.MergeAll(x.now, all)
			p.machine.Changes()
		}
	}
}

// agree reports whether every running machine lists every running process as
// alive in its own state and version, and no other process as alive.
func (x *exchange) agree() bool {
	alive := 0
	for _, p := range x.procs {
		if !p.stopped {
			alive++
		}
	}
	for _, p := range x.procs {
		if p.machine == nil || p.stopped {
			continue
		}
		if !x.complete(p.machine, alive) {
			return false
		}
	}
	return true
}

func (x *exchange) complete(m *Machine, alive int) bool {
	for _, p := range x.procs {
		if p.stopped {
			continue
		}
		got, ok := m.Lookup(p.rec.Addr)
		if !ok || got != p.self() || m.roster.zones[m.roster.find(keyOf(p.rec.Addr)).zone].down {
			return false
		}
	}
	n := 0
	for rec := range m.All() {
		if rec.Verdict != VerdictDead {
			n++
		}
	}
	return n == alive
}

func (p *proc) self() Record {
	if p.machine != nil {
		return p.machine.Self()
	}
	return p.announcer.Self()
}

func (x *exchange) seeds(list ...int) []netip.AddrPort {
	var s []netip.AddrPort
	for _, i := range list {
		s = append(s, addrOf(RoleBalancer, i))
	}
	return s
}
