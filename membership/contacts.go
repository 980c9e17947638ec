package membership

import (
	"net/netip"
	"time"
)

// noticePause keeps a process that was stopped from giving up its observers:
// their answers wait in its socket, and they are not the silent ones.
func (a *Announcer) noticePause(now time.Time) {
	gap := now.Sub(a.calledAt)
	if !a.calledAt.IsZero() && gap > a.cfg.Interval {
		for i := range a.contacts {
			a.contacts[i].heardAt = now
		}
	}
	a.calledAt = now
}

// dropSilent gives up contacts that no longer answer and replaces them.
func (a *Announcer) dropSilent(now time.Time) {
	limit := silentIntervals * a.cfg.Interval
	kept := a.contacts[:0]
	for _, c := range a.contacts {
		if now.Sub(c.heardAt) < limit {
			kept = append(kept, c)
		}
	}
	lost := len(a.contacts) - len(kept)
	a.contacts = kept
	for ; lost > 0 && len(a.known) > 0; lost-- {
		k := a.takeKnown()
		a.contacts = append(a.contacts, contact{key: k, heardAt: now})
	}
}

// takeKnown removes the best-scored balancer from known.
func (a *Announcer) takeKnown() key {
	t := top{subject: a.selfKey}
	t.add(a.known, 1)
	a.known = without(a.known, t.keys[0])
	return t.keys[0]
}

// mayAdopt limits how often acks replace the observers. Two balancers whose
// rosters differ name different ones; each replacement makes announcements,
// and each of these an ack that may name others again. Unlimited, that is a
// storm at the speed of the network, seen as a process that sends thousands
// of announcements a second.
func (a *Announcer) mayAdopt(now time.Time) bool {
	if len(a.contacts) > 0 && now.Sub(a.adoptAt) < a.cfg.Interval {
		return false
	}
	a.adoptAt = now
	return true
}

// adopt takes the observers that a balancer named and keeps the former ones
// as spares.
func (a *Announcer) adopt(now time.Time, peers []netip.AddrPort) {
	next := make([]contact, 0, observers)
	for _, p := range peers {
		k := keyOf(p)
		if k == a.selfKey || len(next) == observers {
			continue
		}
		a.known = without(a.known, k)
		next = append(next, a.contactOf(now, k))
	}
	for i := range a.contacts {
		a.remember(a.contacts[i].key, next)
	}
	old := a.contacts
	a.contacts = next
	for i := range a.contacts {
		if c := &a.contacts[i]; !inContacts(old, c.key) {
			a.announce(now, c)
		}
	}
}

func (a *Announcer) contactOf(now time.Time, k key) contact {
	for _, c := range a.contacts {
		if c.key == k {
			return c
		}
	}
	return contact{key: k, heardAt: now}
}

func (a *Announcer) remember(k key, used []contact) {
	if inContacts(used, k) {
		return
	}
	a.known = append(without(a.known, k), k)
	if len(a.known) > maxKnown {
		a.known = a.known[1:]
	}
}

func inContacts(list []contact, k key) bool {
	for i := range list {
		if list[i].key == k {
			return true
		}
	}
	return false
}

// contact is one balancer as its subject sees it.
type contact struct {
	key     key
	sentAt  time.Time // of the last message
	heardAt time.Time // of the last ack, or when it was learned
	version uint32    // highest version that it acknowledged
	acked   bool      // ever, for this incarnation
}
