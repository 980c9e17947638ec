package flow

import (
	"encoding/binary"
	"net/netip"
	"time"
)

const (
	// querySize is the length of one flow in a Query in bytes: its key, and what
	// its caller acknowledged.
	querySize = KeySize + 4
	// answerSize is the length of one flow in a QueryAnswer in bytes.
	answerSize = KeySize + 1
	// numberSize is the length of a Query's number, which its answer repeats.
	numberSize = 8
	// maxQueried is the number of flows in one Query, so that it stays below the
	// smallest MTU in use.
	maxQueried = 64
	// messageOverhead is what a message takes on the network besides what follows
	// it, in bytes: its header, UDP's and IP's.
	messageOverhead = 56 + 28
	// searchShare is the part of the VM's link that searches may take, in either
	// direction. Callers' packets, which a balancer receives and sends on, and
	// offers have the rest.
	searchShare = 0.3
	// searchMessages bounds the messages of searches in a second: on VMs of a fifth
	// of a core they and their answers took the processor from offers.
	searchMessages = 2500
	// turnSpan is the time's worth of the searches' share of the link that is sent at
	// once: questions to all of 65 agents together would be 10 ms of a link of
	// 10 Mbit/s, in which offers wait.
	turnSpan = 5 * time.Millisecond
	// questionBurst is how far ahead of that pace questions may be sent at once: a
	// few flows that routers move are found without waiting for a turn.
	questionBurst = 10 * time.Millisecond
	// queryExpiry is how long an answer to a Query is waited for: beyond the
	// times at which the agent is asked again.
	queryExpiry = time.Second
)

// seekRef refers to a search that may have ended since.
type seekRef struct {
	k      *seek
	serial uint64
}

func (r seekRef) ends() bool { return r.k.serial != r.serial }

// outbox is what one agent is asked next.
type outbox struct {
	agent netip.AddrPort
	flows []seekRef
}

// query is one Query that was sent.
type query struct {
	number uint64
	agent  netip.AddrPort
	sentAt time.Time
	flows  []seekRef
}

// packetDue is an agent that needs a packet of a flow.
type packetDue struct {
	ref   seekRef
	agent netip.AddrPort
}

// queries paces the questions of a balancer's searches. After a loss of power
// hundreds of flows a second are nobody's, and each is asked for at every agent.
// Sent one by one with the caller's packet these questions filled a link of
// 10 Mbit/s, offers of new flows missed their timeouts, and callers came back for
// want of an answer: the overload fed itself for 14 s. So a search sends the
// packet at once only if no other one went before it lately. All others wait for
// their agent's turn, in which it is asked for many flows by one message. The next
// turn begins when the link and the processor have had the time that their share
// of this one takes, so that on a slower link more flows share a message.
type queries struct {
	link    float64   // bytes a second for searches
	nextAt  time.Time // of the next turn
	boxes   map[netip.AddrPort]*outbox
	full    fifo[*outbox] // those with something in them, the one whose turn is next first
	packets fifo[packetDue]
	sent    map[uint64]*query
	order   fifo[*query] // sent, the oldest first
	spare   []*query
	arena   []byte // what follows the messages of the running call
}

func newQueries(link float64) queries {
	return queries{link: link * searchShare, boxes: make(map[netip.AddrPort]*outbox), sent: make(map[uint64]*query)}
}

// idle reports whether the next question may be sent at once.
func (q *queries) idle(now time.Time) bool {
	return !now.Add(questionBurst).Before(q.nextAt) && !q.waiting()
}

func (q *queries) waiting() bool { return q.full.len() > 0 || q.packets.len() > 0 }

// charge puts the next turn off for what messages with so many bytes after
// their headers take, with their answers.
func (q *queries) charge(now time.Time, messages, bytes int) {
	onLink := float64(messages*messageOverhead+bytes) / q.link
	onProcessor := float64(messages) / searchMessages
	if q.nextAt.Before(now) {
		q.nextAt = now
	}
	q.nextAt = q.nextAt.Add(time.Duration(max(onLink, onProcessor) * float64(time.Second)))
}

// add has agent asked for a flow in the next round.
func (q *queries) add(agent netip.AddrPort, k *seek) {
	box := q.boxes[agent]
	if box == nil {
		box = &outbox{agent: agent}
		q.boxes[agent] = box
	}
	if len(box.flows) == 0 {
		q.full.push(box)
	}
	box.flows = append(box.flows, seekRef{k, k.serial})
}

// take returns the next message's worth of flows for an agent.
func (b *outbox) take(into []seekRef) []seekRef {
	n := 0
	for n < len(b.flows) && len(into) < maxQueried {
		if ref := b.flows[n]; !ref.ends() {
			into = append(into, ref)
		}
		n++
	}
	b.flows = b.flows[:copy(b.flows, b.flows[n:])]
	return into
}

// note keeps a query until its answer comes.
func (q *queries) note(now time.Time, number uint64, agent netip.AddrPort) *query {
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

// askWaiting sends questions that wait, when their time has come: first those for
// many flows, then packets to the agents that need one.
func (d *Director) askWaiting(now time.Time) {
	q := &d.queries
	if !q.waiting() || now.Before(q.nextAt) {
		return
	}
	q.arena = q.arena[:0]
	budget := int(q.link * turnSpan.Seconds())
	messages, bytes := 0, 0
	for q.full.len() > 0 && (messages == 0 || bytes < budget) {
		box := q.full.pop()
		if n := d.sendQuery(now, box); n > 0 {
			messages++
			bytes += n + messageOverhead
		}
		if len(box.flows) > 0 {
			q.full.push(box)
		}
	}
	for q.packets.len() > 0 && !d.startUndecided(now) && (messages == 0 || bytes < budget) {
		if n := d.sendPacket(); n > 0 {
			messages++
			bytes += n + messageOverhead
		}
	}
	q.charge(now, messages, bytes-messages*messageOverhead)
}

// sendQuery asks one agent for the flows that wait for it, as far as one message
// holds them. It returns the bytes that follow the message's header.
func (d *Director) sendQuery(now time.Time, box *outbox) int {
	v := d.queries.note(now, d.nextSerial(), box.agent)
	v.flows = box.take(v.flows)
	start := len(d.queries.arena)
	b := binary.LittleEndian.AppendUint64(d.queries.arena, v.number)
	for _, ref := range v.flows {
		ref.k.question(box.agent).waits = false
		b = ref.k.segment.Key.Append(b)
		b = binary.LittleEndian.AppendUint32(b, ref.k.segment.Ack)
	}
	d.queries.arena = b
	if len(v.flows) == 0 {
		return 0
	}
	d.question(box.agent, Message{Kind: Query}, b[start:])
	return len(b) - start
}

// sendPacket sends a packet of a flow to an agent that needs it and returns its
// length, 0 if the search has ended or what the agent has not seen is not there.
func (d *Director) sendPacket() int {
	p := d.queries.packets.pop()
	if p.ref.ends() || d.everyoneStarted {
		return 0
	}
	p.ref.k.question(p.agent).waits = false
	d.question(p.agent, Message{Kind: Lookup}, p.ref.k.packet)
	return len(p.ref.k.packet)
}

// onQueryAnswer takes what an agent says of the flows that it was asked for.
func (d *Director) onQueryAnswer(now time.Time, from netip.AddrPort, b []byte) {
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
		if !ref.ends() {
			d.onFinding(now, from, ref.k, resultFor(ref.k.segment.Key, b[numberSize:]))
		}
	}
}

// onFinding takes what an agent says of one flow.
func (d *Director) onFinding(now time.Time, from netip.AddrPort, k *seek, f LookupResult) {
	e := d.flows[k.segment.Key]
	if e == nil || e.seek != k {
		return
	}
	if f == FlowNeedsPacket || f == FlowUnknown {
		if d.everyoneStarted {
			f = FlowNotHeld
		}
		if q := k.question(from); q != nil {
			q.unsure = true
			d.block(k)
		}
	}
	switch f {
	case FlowHeld:
		d.found(now, e, from, true)
	case FlowLost:
		d.lost(now, e, &k.segment, ReasonLost)
	case FlowNeedsPacket:
		if p := k.question(from); p != nil && !p.waits {
			p.waits = true
			d.queries.packets.push(packetDue{seekRef{k, k.serial}, from})
		}
	case FlowNotHeld:
		d.answered(now, e, from)
	}
}
