package agent

import (
	"net/netip"
	"time"

	"github.com/hemlockscale/hemlockscale/catalogue"
	"github.com/hemlockscale/hemlockscale/internal/control"
	"github.com/hemlockscale/hemlockscale/internal/seal"
)

// entryRequestInterval is the least time between two requests for the entry.
const entryRequestInterval = 250 * time.Millisecond

// offerEntry gives this agent's entry to a balancer that has no catalogue, as
// after a restart of all balancers while the store is down: the agents' entries
// are then all that is left of it.
func (d *controlLoop) offerEntry(to netip.AddrPort) {
	if m, ok := d.held.Offer(); ok {
		d.link.SendBytes(seal.TopicCatalogue, to, m.Encode())
	}
}

// requestEntry asks for the catalogue entry until it is known, and again once an
// ack has told of another version.
func (d *controlLoop) requestEntry(now time.Time) {
	if now.Sub(d.requestedAt) < entryRequestInterval {
		return
	}
	to := d.newerFrom
	d.newerFrom = netip.AddrPort{}
	if d.announcer == nil && len(d.seeds) > 0 {
		to = d.seeds[d.rng.IntN(len(d.seeds))]
	}
	if !to.IsValid() {
		return
	}
	d.requestedAt = now
	d.link.SendBytes(seal.TopicCatalogue, to, d.held.Request().Encode())
}

// receiveVersion takes in what an ack says of this agent's entry. Asking only when
// the entry changed keeps agents from asking at each of the fleet's edits.
func (d *controlLoop) receiveVersion(from netip.AddrPort, version uint64) {
	held, _ := d.held.Entry()
	switch {
	case version == control.NoCatalogue:
		d.offerEntry(from)
	case version == control.NoEntry || version > held.Version:
		d.newerFrom = from
	}
}

func (d *controlLoop) receiveEntry(now time.Time, b []byte) {
	m, err := catalogue.DecodeMessage(b)
	if err != nil {
		d.a.metrics.controlRejected.Inc()
		return
	}
	changed := d.held.Receive(m)
	entry, found := d.held.Entry()
	if !changed || !found {
		// An entry that was deleted leaves the last one in force for the
		// flows that are open; balancers send no new ones.
		return
	}
	d.a.setEntry(&entry)
	// A service that was deleted and entered again has a new number.
	if d.announcer == nil || d.announcer.Self().Service != entry.Number {
		d.startAnnouncing(now)
	}
}
