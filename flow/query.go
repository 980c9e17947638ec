package flow

import (
	"encoding/binary"
	"net/netip"
	"time"
)

const (
	// querySize is the length of one flow in a Query in bytes: its key, and the
	// caller's acknowledgement number.
	querySize = KeySize + 4
	// resultSize is the length of one flow in a QueryAnswer in bytes.
	resultSize = KeySize + 1
	// numberSize is the length of a Query's number, which its answer repeats.
	numberSize = 8
	// flowsPerQuery is the number of flows in one Query, so that it stays below the
	// smallest MTU in use.
	flowsPerQuery = 64
	// messageOverhead is the size of a message on the network without its payload, in
	// bytes: its own header, UDP's and IP's.
	messageOverhead = 56 + 28
	// lookupLinkShare is the part of the VM's link that lookups may take in either
	// direction. Callers' packets, which a balancer receives and forwards, and offers
	// have the rest.
	lookupLinkShare = 0.3
	// maxLookupMessages bounds the lookup messages per second: on VMs with a fifth of a
	// core more of them, with their answers, leave no processor time for offers.
	maxLookupMessages = 2500
	// roundSpan is the amount of queries sent at once, as time at the lookups' share of
	// the link: queries to all of 65 agents together would occupy a 10 Mbit/s link for
	// 10 ms, for which offers would wait.
	roundSpan = 5 * time.Millisecond
	// queryBurst is how far ahead of that pace queries may be sent at once, so that a
	// few flows that routers move are found without a wait for the next round.
	queryBurst = 10 * time.Millisecond
	// queryExpiry is how long the answer to a Query is accepted. It is above the times
	// at which the agent is queried again.
	queryExpiry = time.Second
)

// lookupRef refers to a lookup that may have ended since.
type lookupRef struct {
	lookup *lookup
	serial uint64
}

func (r lookupRef) ended() bool { return r.lookup.serial != r.serial }

// outbox holds the lookups that one agent is queried for next.
type outbox struct {
	agent netip.AddrPort
	flows []lookupRef
}

// query is a Query that was sent.
type query struct {
	number uint64
	agent  netip.AddrPort
	sentAt time.Time
	flows  []lookupRef
}

// packetDue is an agent that needs a packet of a flow to answer.
type packetDue struct {
	ref   lookupRef
	agent netip.AddrPort
}

// queries paces the queries of a balancer's lookups.
//
// After a power loss hundreds of flows per second are held by no server, and every
// agent is queried for each of them. Sent one by one with the caller's packet these
// queries fill a 10 Mbit/s link, offers of new flows run into their timeouts, and
// callers retry because they get no answer: the overload sustains itself for 14 s.
//
// So a lookup sends the packet at once only if no other one was sent recently. All
// others wait for a round, in which an agent is queried for many flows in one message.
// The next round begins after the time that the messages of this one take of the link's
// and the processor's share, so that on a slower link more flows share a message.
type queries struct {
	link     float64   // bytes per second for lookups
	nextAt   time.Time // of the next round
	outboxes map[netip.AddrPort]*outbox
	nonEmpty fifo[*outbox] // outboxes with lookups, the next one to be sent first
	packets  fifo[packetDue]
	sent     map[uint64]*query
	order    fifo[*query] // of sent, oldest first
	spare    []*query
	arena    []byte // payloads of the messages of the running call
}

func newQueries(link float64) queries {
	return queries{link: link * lookupLinkShare, outboxes: make(map[netip.AddrPort]*outbox), sent: make(map[uint64]*query)}
}

// idle reports whether the next query may be sent at once.
func (q *queries) idle(now time.Time) bool {
	return !now.Add(queryBurst).Before(q.nextAt) && !q.waiting()
}

func (q *queries) waiting() bool { return q.nonEmpty.len() > 0 || q.packets.len() > 0 }

// charge delays the next round by the time that messages with the given total payload
// take, with their answers.
func (q *queries) charge(now time.Time, messages, bytes int) {
	onLink := float64(messages*messageOverhead+bytes) / q.link
	onProcessor := float64(messages) / maxLookupMessages
	if q.nextAt.Before(now) {
		q.nextAt = now
	}
	q.nextAt = q.nextAt.Add(time.Duration(max(onLink, onProcessor) * float64(time.Second)))
}

// add queues the query of an agent for a flow.
func (q *queries) add(agent netip.AddrPort, l *lookup) {
	box := q.outboxes[agent]
	if box == nil {
		box = &outbox{agent: agent}
		q.outboxes[agent] = box
	}
	if len(box.flows) == 0 {
		q.nonEmpty.push(box)
	}
	box.flows = append(box.flows, lookupRef{l, l.serial})
}

// take appends the lookups of the next message to an agent.
func (b *outbox) take(into []lookupRef) []lookupRef {
	n := 0
	for n < len(b.flows) && len(into) < flowsPerQuery {
		if ref := b.flows[n]; !ref.ended() {
			into = append(into, ref)
		}
		n++
	}
	b.flows = b.flows[:copy(b.flows, b.flows[n:])]
	return into
}

// track records a query until its answer arrives.
func (q *queries) track(now time.Time, number uint64, agent netip.AddrPort) *query {
	for q.order.len() > 0 && now.Sub((*q.order.first()).sentAt) >= queryExpiry {
		old := q.order.pop()
		delete(q.sent, old.number)
		q.spare = append(q.spare, old)
	}
	v := take(&q.spare)
	*v = query{number: number, agent: agent, sentAt: now, flows: v.flows[:0]}
	q.sent[number] = v
	q.order.push(v)
	return v
}

// sendQueries sends the queries that wait, when a round is due: first queries for many
// flows, then packets to the agents that need one.
func (d *Director) sendQueries(now time.Time) {
	q := &d.queries
	if !q.waiting() || now.Before(q.nextAt) {
		return
	}
	q.arena = q.arena[:0]
	budget := int(q.link * roundSpan.Seconds())
	messages, bytes := 0, 0
	for q.nonEmpty.len() > 0 && (messages == 0 || bytes < budget) {
		box := q.nonEmpty.pop()
		if n := d.sendQuery(now, box); n > 0 {
			messages++
			bytes += n + messageOverhead
		}
		if len(box.flows) > 0 {
			q.nonEmpty.push(box)
		}
	}
	for q.packets.len() > 0 && !d.fleetStartPending(now) && (messages == 0 || bytes < budget) {
		if n := d.sendPacket(); n > 0 {
			messages++
			bytes += n + messageOverhead
		}
	}
	q.charge(now, messages, bytes-messages*messageOverhead)
}

// sendQuery queries one agent for the flows that wait for it, as far as they fit one
// message. It returns the length of the payload in bytes.
func (d *Director) sendQuery(now time.Time, box *outbox) int {
	v := d.queries.track(now, d.nextSerial(), box.agent)
	v.flows = box.take(v.flows)
	start := len(d.queries.arena)
	b := binary.LittleEndian.AppendUint64(d.queries.arena, v.number)
	for _, ref := range v.flows {
		ref.lookup.target(box.agent).queryPending = false
		b = ref.lookup.segment.Key.Append(b)
		b = binary.LittleEndian.AppendUint32(b, ref.lookup.segment.Ack)
	}
	d.queries.arena = b
	if len(v.flows) == 0 {
		return 0
	}
	d.sendRequest(box.agent, Message{Kind: Query}, b[start:])
	return len(b) - start
}

// sendPacket sends a packet of a flow to an agent that needs it and returns its length,
// 0 if the lookup has ended or the whole fleet has recently started, when a flow that
// an agent does not know is not held by its server.
func (d *Director) sendPacket() int {
	p := d.queries.packets.pop()
	if p.ref.ended() {
		return 0
	}
	p.ref.lookup.target(p.agent).queryPending = false
	if a := d.agents[p.agent]; a == nil || d.uncertainMeansNotHeld(a) {
		return 0
	}
	d.sendRequest(p.agent, Message{Kind: Lookup}, p.ref.lookup.packet)
	return len(p.ref.lookup.packet)
}

// onQueryAnswer handles an agent's answer to a Query.
func (d *Director) onQueryAnswer(now time.Time, from netip.AddrPort, m *Message, b []byte) {
	if len(b) < numberSize {
		return
	}
	number := binary.LittleEndian.Uint64(b)
	v := d.queries.sent[number]
	if v == nil || v.agent != from {
		return
	}
	delete(d.queries.sent, number)
	for _, ref := range v.flows {
		if !ref.ended() {
			d.onLookupResult(now, from, m, ref.lookup, resultFor(ref.lookup.segment.Key, b[numberSize:]))
		}
	}
}

// onLookupResult handles an agent's result for one flow.
func (d *Director) onLookupResult(now time.Time, from netip.AddrPort, m *Message, l *lookup, result LookupResult) {
	e := d.flows[l.segment.Key]
	if e == nil || e.lookup != l {
		return
	}
	if result == FlowNeedsPacket || result == FlowUnknown {
		if d.uncertainMeansNotHeld(d.agents[from]) {
			result = FlowNotHeld
		}
		if q := l.target(from); q != nil && d.agents[from].listKnown(m) {
			q.uncertain = true
			d.blockLookup(l)
		}
	}
	switch result {
	case FlowHeld:
		d.completeLookup(now, e, from, true)
	case FlowLost:
		d.endFlow(now, e, &l.segment, ReasonLost)
	case FlowNeedsPacket:
		if p := l.target(from); p != nil && !p.queryPending {
			p.queryPending = true
			d.queries.packets.push(packetDue{lookupRef{l, l.serial}, from})
		}
	case FlowNotHeld:
		d.recordNotHeld(now, e, from, m)
	}
}
