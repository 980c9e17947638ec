package membership

import (
	"net/netip"
	"time"
)

// detectPause resets the contacts after a pause of this process. Their answers
// wait in its socket, so they must not count as unresponsive.
func (a *Announcer) detectPause(now time.Time) {
	gap := now.Sub(a.lastCallAt)
	if !a.lastCallAt.IsZero() && gap > a.cfg.Interval {
		for i := range a.contacts {
			a.contacts[i].ackAt = now
		}
	}
	a.lastCallAt = now
}

// replaceUnresponsive drops contacts that no longer answer and replaces them.
func (a *Announcer) replaceUnresponsive(now time.Time) {
	limit := maxUnansweredIntervals * a.cfg.Interval
	kept := a.contacts[:0]
	for _, c := range a.contacts {
		if now.Sub(c.ackAt) < limit {
			kept = append(kept, c)
		}
	}
	dropped := len(a.contacts) - len(kept)
	a.contacts = kept
	for ; dropped > 0 && len(a.known) > 0; dropped-- {
		k := a.takeBestKnown()
		a.contacts = append(a.contacts, contact{key: k, ackAt: now})
	}
}

// takeBestKnown removes the balancer with the highest score from known.
func (a *Announcer) takeBestKnown() key {
	t := ranking{subject: a.selfKey}
	t.add(a.known, 1)
	a.known = without(a.known, t.keys[0])
	return t.keys[0]
}

// mayAdopt limits how often acks replace the observers. Two balancers with
// different member lists name different observers, each replacement causes
// announcements, and each of these an ack that may name other observers. Without
// the limit one process sends thousands of announcements per second.
func (a *Announcer) mayAdopt(now time.Time) bool {
	if len(a.contacts) > 0 && now.Sub(a.adoptedAt) < a.cfg.Interval {
		return false
	}
	a.adoptedAt = now
	return true
}

// adopt replaces the observers with those that a balancer named, and keeps the
// former ones in known.
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
	return contact{key: k, ackAt: now}
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

// contact is one observer, as known by the process that reports to it.
type contact struct {
	key     key
	sentAt  time.Time // of the last message
	ackAt   time.Time // of the last ack, or when the contact was added
	version uint32    // highest version that the contact acknowledged
	acked   bool      // the contact has acknowledged this incarnation
}
