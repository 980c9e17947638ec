package flow

import (
	"net/netip"
	"time"
)

// memberListCheck tracks whether other balancers confirm that this one knows all
// agents. A new agent is announced by a single message. If that gets lost, this
// balancer would treat the agent's flows as lost and reset flows that their servers
// hold.
type memberListCheck struct {
	request     uint64         // number of the latest request
	requestedAt time.Time      // when it was sent
	tries       int            // requests in a row without an answer
	confirmedAt time.Time      // every agent that others knew at this time is known here
	confirmedBy netip.AddrPort // balancer that confirmed it; not valid: none answered
}

// due returns when the wait for an answer ends; ok is false if there is none.
func (c *memberListCheck) due() (at time.Time, ok bool) {
	return c.requestedAt.Add(queryRetryInterval), c.tries > 0
}

// membersConfirmed reports whether others have confirmed the member list since a lookup
// began, and asks them if not. The flow was opened before the lookup, so the balancer
// that opened it knew the agent that holds it. If no balancer answers, the others have
// failed and the list known here counts as complete.
func (d *Director) membersConfirmed(now time.Time, l *lookup) bool {
	c := &d.memberCheck
	if d.peers.len() == 0 || !c.confirmedAt.Before(l.startedAt) {
		return true
	}
	if at, waiting := c.due(); waiting && now.Before(at) {
		return false
	}
	if c.tries == maxQueryAttempts {
		c.confirmedAt, c.tries, c.confirmedBy = now, 0, netip.AddrPort{}
		return true
	}
	c.request, c.requestedAt = d.nextSerial(), now
	c.tries++
	d.sendToPeers(Message{Kind: MemberListRequest, Incarnation: c.request})
	return false
}

// onMemberListAnswer handles the last message of a member list that was requested. The
// list of a recently started balancer confirms nothing.
func (d *Director) onMemberListAnswer(now time.Time, from netip.AddrPort, m *Message) {
	c := &d.memberCheck
	if c.tries == 0 || m.Incarnation != c.request || m.Reason == ReasonState || m.Priority > 0 {
		return
	}
	c.confirmedAt, c.tries, c.confirmedBy = c.requestedAt, 0, from
	d.resumeUndecided(now)
}

// sendToPeers sends a message to some of the other balancers.
func (d *Director) sendToPeers(m Message) {
	for _, addr := range d.SampleBalancers(d.now, memberListPeers) {
		d.send(addr, m, nil)
	}
}
