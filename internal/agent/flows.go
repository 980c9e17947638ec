package agent

import (
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/hemlockscale/hemlockscale/admission"
	"github.com/hemlockscale/hemlockscale/connid"
	"github.com/hemlockscale/hemlockscale/internal/frame"
	"github.com/hemlockscale/hemlockscale/internal/quicwire"
	"github.com/hemlockscale/hemlockscale/placement"
)

// flows decides which new flows this agent keeps. handOn is called by the
// receive duty alone, load by any goroutine.
type flows struct {
	gate    *gate
	decider *placement.Decider
	packet  quicwire.Packet
	slots   atomic.Int64
	conns   atomic.Int64
	leaving atomic.Bool
}

func newFlows(g *gate) *flows {
	return &flows{gate: g, decider: placement.NewDecider(rand.Uint64())}
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

func (f *flows) occupancy() placement.Occupancy {
	return f.usage(f.gate.load()).Occupancy()
}

func (f *flows) usage(l admission.Load) placement.Usage {
	return placement.Usage{
		SlotsBusy:      l.Slots,
		Slots:          l.Limit,
		Queue:          l.Queued,
		Connections:    l.Connections,
		MaxConnections: int(f.conns.Load()),
		Draining:       l.Draining || f.leaving.Load(),
	}
}

// load implements firstPacketPolicy.
func (f *flows) load() byte { return byte(f.occupancy()) }
