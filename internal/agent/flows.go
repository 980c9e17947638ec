package agent

import (
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/hemlockscale/hemlockscale/admission"
	"github.com/hemlockscale/hemlockscale/catalogue"
	"github.com/hemlockscale/hemlockscale/connid"
	"github.com/hemlockscale/hemlockscale/internal/frame"
	"github.com/hemlockscale/hemlockscale/internal/quicwire"
	"github.com/hemlockscale/hemlockscale/placement"
)

// flows decides which new flows this agent keeps. place is called by the receive
// duty alone, load by any goroutine, update and ended under the gate's lock.
type flows struct {
	self           netip.AddrPort
	decider        *placement.Decider
	packet         quicwire.Packet
	meter          placement.Meter
	busy           prometheus.Gauge
	maxConnections atomic.Int64 // limit of the catalogue entry
	level          atomic.Uint32
	perRequest     atomic.Uint32 // what one more request would add to level
	recent         recentFlows
	leaving        atomic.Bool
}

// recentPeriod is how long a flow that was kept counts as one request. After that
// its requests count by themselves.
const recentPeriod = 250 * time.Millisecond

// recentFlows counts the flows kept in the last freshTime. A flow has no request
// until its handshake is over; without the count an agent that callers turn to
// all at once looks idle to each of them, and flows stay where they were placed.
type recentFlows struct {
	periodStart       atomic.Int64 // beginning of the present period, Unix nanoseconds
	current, previous atomic.Int64 // flows kept in the present period and the one before
}

// rotate begins a new period when the present one is over. One goroutine calls it.
func (f *recentFlows) rotate(now time.Time) {
	if now.UnixNano()-f.periodStart.Load() < int64(recentPeriod) {
		return
	}
	f.periodStart.Store(now.UnixNano())
	f.previous.Store(f.current.Swap(0))
}

func (f *recentFlows) count() int64 { return f.current.Load() + f.previous.Load() }

func newFlows(g *gate, self netip.AddrPort, m *metrics) *flows {
	f := &flows{self: self, busy: m.busySlots, decider: placement.NewDecider(rand.Uint64(), placement.DeciderOptions{})}
	f.maxConnections.Store(catalogue.DefaultConnections)
	g.onLoad = f.updateLoad
	g.onOutcome = f.recordOutcome
	return f
}

// place implements firstPacketPolicy. A flow is handed on once and may be sent
// back once, by an agent that is busier than the one it came from.
func (f *flows) place(h *frame.Header, packet []byte) (to netip.AddrPort, elsewhere bool) {
	if !quicwire.Parse(packet, connid.Len, &f.packet) {
		return netip.AddrPort{}, false
	}
	now := time.Now()
	if h.Flags&frame.FlagReturned != 0 {
		f.decider.Keep(now, f.packet.ID)
		return netip.AddrPort{}, false
	}
	own := f.occupancy()
	other := placement.Alternate{Addr: h.Alternate, Occupancy: placement.Occupancy(h.Load)}
	d := f.decider.Decide(now, f.packet.ID, own, other, h.Flags&frame.FlagAlternate != 0)
	if !d.Forward {
		f.recent.current.Add(1)
		return netip.AddrPort{}, false
	}
	if h.Flags&frame.FlagHandedOn != 0 {
		h.Flags |= frame.FlagReturned
		return d.To, true
	}
	h.Flags |= frame.FlagHandedOn
	h.Alternate = f.self
	h.Load = byte(own)
	return d.To, true
}

// updateLoad takes in the gate's counts after each change of them.
func (f *flows) updateLoad(now time.Time, l admission.Load) {
	usage := placement.Usage{
		SlotsBusy:      l.Slots,
		Slots:          l.Limit,
		Queue:          l.Queued,
		Connections:    l.Connections,
		MaxConnections: int(f.maxConnections.Load()),
		Draining:       l.Draining,
	}
	f.busy.Set(float64(l.Slots))
	f.level.Store(uint32(f.meter.Occupancy(now, usage)))
	f.recent.rotate(now)
	more := usage
	more.Queue++
	f.perRequest.Store(uint32(max(1, int(more.Occupancy())-int(usage.Occupancy()))))
}

// recordOutcome takes in how the backend server recordOutcome a request.
func (f *flows) recordOutcome(now time.Time, o admission.Outcome) {
	if o == admission.Canceled {
		return // it says nothing of the backend server
	}
	f.meter.Done(now, o != admission.OK)
}

func (f *flows) occupancy() placement.Occupancy {
	if f.leaving.Load() {
		return placement.Full
	}
	level := int64(f.level.Load())
	if level == int64(placement.Full) {
		return placement.Full
	}
	level += f.recent.count() * int64(f.perRequest.Load())
	return placement.Occupancy(min(level, int64(placement.Full)-1))
}

// load implements firstPacketPolicy.
func (f *flows) load() byte { return byte(f.occupancy()) }
