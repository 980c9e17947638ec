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

// flows decides which new flows this agent keeps and which it forwards, and computes the
// agent's occupancy. Only the receive loop calls place, any goroutine may call load, and
// updateLoad and recordAttempt are called under the gate's lock.
type flows struct {
	self           netip.AddrPort
	decider        *placement.Decider
	packet         quicwire.Packet
	meter          placement.Meter
	busy           prometheus.Gauge
	sharesDropped  prometheus.Counter
	lastDropped    uint64        // admission.Load.SharesDropped at the last update
	maxConnections atomic.Int64  // connection limit of the catalogue entry
	level          atomic.Uint32 // occupancy without the recent flows
	perRequest     atomic.Uint32 // increase of level for one more request
	recent         recentFlows
	leaving        atomic.Bool
}

// recentPeriod is the length of a counting period of recentFlows. A kept flow counts as one
// request for one to two periods; after that its actual requests are counted.
const recentPeriod = 250 * time.Millisecond

// recentFlows counts the flows kept in the current and the previous recentPeriod. A flow has
// no request until its handshake is complete. Without the count, an agent would appear idle
// to each of many callers that connect at the same time, and flows stay where they are placed.
type recentFlows struct {
	periodStart       atomic.Int64 // start of the current period, Unix nanoseconds
	current, previous atomic.Int64 // flows kept in the current and the previous period
}

// rotate starts a new period when the current one is over. It is not safe for concurrent use.
func (f *recentFlows) rotate(now time.Time) {
	if now.UnixNano()-f.periodStart.Load() < int64(recentPeriod) {
		return
	}
	f.periodStart.Store(now.UnixNano())
	f.previous.Store(f.current.Swap(0))
}

func (f *recentFlows) count() int64 { return f.current.Load() + f.previous.Load() }

func newFlows(g *gate, self netip.AddrPort, m *metrics) *flows {
	f := &flows{self: self, busy: m.busySlots, sharesDropped: m.sharesDropped, decider: placement.NewDecider(rand.Uint64(), placement.DeciderOptions{})}
	f.maxConnections.Store(catalogue.DefaultConnections)
	g.onLoad = f.updateLoad
	g.onAttempt = f.recordAttempt
	return f
}

// place implements firstPacketPolicy. A flow is forwarded once, and may be returned once
// by an agent that is busier than the one that forwarded it.
func (f *flows) place(h *frame.Header, packet []byte) (to netip.AddrPort, forward bool) {
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
	if h.Flags&frame.FlagForwarded != 0 {
		h.Flags |= frame.FlagReturned
		return d.To, true
	}
	h.Flags |= frame.FlagForwarded
	h.Alternate = f.self
	h.Load = byte(own)
	return d.To, true
}

// updateLoad computes the occupancy from the gate's counts after each change of them.
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
	f.sharesDropped.Add(float64(l.SharesDropped - f.lastDropped))
	f.lastDropped = l.SharesDropped
	f.level.Store(uint32(f.meter.Occupancy(now, usage)))
	f.recent.rotate(now)
	withOneMore := usage
	withOneMore.Queue++
	f.perRequest.Store(uint32(max(1, int(withOneMore.Occupancy())-int(usage.Occupancy()))))
}

// recordAttempt records the result of an attempt of a request at the backend server.
func (f *flows) recordAttempt(now time.Time, failed bool) { f.meter.Done(now, failed) }

// occupancy returns the agent's occupancy, in which each recent flow counts as one request. It
// is placement.Full while the agent leaves.
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
