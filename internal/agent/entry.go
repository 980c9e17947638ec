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
func (l *controlLoop) offerEntry(to netip.AddrPort) {
	if m, ok := l.held.Offer(); ok {
		l.link.SendBytes(seal.TopicCatalogue, to, m.Encode())
	}
}

// requestEntry requests the catalogue entry until it is known, and again when an
// acknowledgement has reported a newer version or that the catalogue has no entry.
func (l *controlLoop) requestEntry(now time.Time) {
	if now.Sub(l.requestedAt) < entryRequestInterval {
		return
	}
	to := l.newerFrom
	l.newerFrom = netip.AddrPort{}
	if l.announcer == nil && len(l.seeds) > 0 {
		to = l.seeds[l.rng.IntN(len(l.seeds))]
	}
	if !to.IsValid() {
		return
	}
	l.requestedAt = now
	l.link.SendBytes(seal.TopicCatalogue, to, l.held.Request().Encode())
}

// receiveVersion handles the version of this agent's entry in an acknowledgement. The
// version is that of the entry, not of the catalogue, so that agents request nothing when
// entries of other services change.
func (l *controlLoop) receiveVersion(from netip.AddrPort, version uint64) {
	held, _ := l.held.Entry()
	switch {
	case version == control.NoCatalogue:
		l.offerEntry(from)
	case version == control.NoEntry || version > held.Version:
		l.newerFrom = from
	}
}

func (l *controlLoop) receiveEntry(now time.Time, b []byte) {
	m, err := catalogue.DecodeMessage(b)
	if err != nil {
		l.a.metrics.controlRejected.Inc()
		return
	}
	changed := l.held.Receive(m)
	entry, found := l.held.Entry()
	if !changed || !found {
		// When the entry is deleted, the last version stays in force for the open
		// flows. Balancers send no new flows.
		return
	}
	l.a.setEntry(&entry)
	// A service that was deleted and added again has a new number.
	if l.announcer == nil || l.announcer.Self().Service != entry.Number {
		l.startAnnouncing(now)
	}
}
