package agent

import (
	"net/netip"
	"time"

	"github.com/hemlockscale/hemlockscale/catalogue"
	"github.com/hemlockscale/hemlockscale/internal/control"
	"github.com/hemlockscale/hemlockscale/internal/seal"
)

// entryRequestInterval is the minimum time between two requests for the entry.
const entryRequestInterval = 250 * time.Millisecond

// offerEntry sends this agent's entry to a balancer that has no catalogue. After a
// restart of all balancers during an outage of the store, the agents' entries are the
// only remaining copy of the catalogue.
func (d *controlLoop) offerEntry(to netip.AddrPort) {
	if m, ok := d.held.Offer(); ok {
		d.link.SendBytes(seal.TopicCatalogue, to, m.Encode())
	}
}

// requestEntry requests the catalogue entry until it is known, and again when an
// acknowledgement has reported another version.
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

// receiveVersion handles the version of this agent's entry in an acknowledgement. The
// version is that of the entry, not of the catalogue, so that agents request nothing when
// entries of other services change.
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
		// When the entry is deleted, the last version stays in force for the open
		// flows. Balancers send no new flows.
		return
	}
	d.a.setEntry(&entry)
	// A service that was deleted and added again has a new number.
	if d.announcer == nil || d.announcer.Self().Service != entry.Number {
		d.startAnnouncing(now)
	}
}
