package agent

import (
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/hemlockscale/hemlockscale/admission"
	"github.com/hemlockscale/hemlockscale/catalogue"
	"github.com/hemlockscale/hemlockscale/connid"
	"github.com/hemlockscale/hemlockscale/internal/frame"
	"github.com/hemlockscale/hemlockscale/internal/quicwire"
	"github.com/hemlockscale/hemlockscale/placement"
)

// flows decides which new flows this agent keeps. handOn is called by the
// receive duty alone, load by any goroutine.
type flows struct {
	decider *placement.Decider
	packet  quicwire.Packet
	conns   atomic.Int64 // limit of the catalogue entry
	level   atomic.Uint32
	leaving atomic.Bool
}

func newFlows(g *gate) *flows {
	f := &flows{decider: placement.NewDecider(rand.Uint64(), placement.DeciderOptions{})}
	f.conns.Store(catalogue.DefaultConnections)
	g.changed = f.update
	return f
}

// handOn implements firstPacketPolicy.
func (f *flows) handOn(h *frame.Header, packet []byte) (netip.AddrPort, bool) {
	if !quicwire.Parse(packet, connid.Len, &f.packet) {
		return netip.AddrPort{}, false
	}
	alt := placement.Alternate{Addr: h.Alternate, Occupancy: placement.Occupancy(h.Load)}
	has := h.Flags&frame.FlagAlternate != 0
	d := f.decider.Decide(time.Now(), f.packet.ID, f.occupancy(), alt, has)
	return d.To, d.HandOn
}

// update takes in the gate's counts after each change of them.
func (f *flows) update(l admission.Load) {
	usage := placement.Usage{
		SlotsBusy:      l.Slots,
		Slots:          l.Limit,
		Queue:          l.Queued,
		Connections:    l.Connections,
		MaxConnections: int(f.conns.Load()),
		Draining:       l.Draining,
	}
	f.level.Store(uint32(usage.Occupancy()))
}

func (f *flows) occupancy() placement.Occupancy {
	if f.leaving.Load() {
		return placement.Full
	}
	return placement.Occupancy(f.level.Load())
}

// load implements firstPacketPolicy.
func (f *flows) load() byte { return byte(f.occupancy()) }
