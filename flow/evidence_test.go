package flow

import (
	"encoding/binary"
	"slices"
	"testing"
	"time"
)

// The flow that the agents of evidenceCases have an entry of: its caller's first packet, its
// server's first packet, and what both have sent since.
const (
	caseOpener  uint32 = 1000
	caseFirst   uint32 = 1<<32 - 300 // the server's numbers wrap
	caseRequest        = 50
	caseAnswer         = 600
	caseFar     uint32 = 1 << 30 // distance of another flow's numbers
)

var (
	caseKey     = Key{CallerPort: 1}
	caseNextSeq = caseOpener + 1 + caseRequest
	caseNextAck = add(caseFirst, 1+caseAnswer)
)

// add returns a+b modulo 2^32.
func add(a, b uint32) uint32 { return a + b }

// evidenceCase is one way in which an agent gets an entry.
type evidenceCase struct {
	name     string
	complete bool // the table is complete
	do       func(x *evidenceRun)
	same     LookupResult // about the flow's next packet
	ahead    LookupResult // about a packet after more answers than the agent has seen
	old      LookupResult // about the flow's first packet after the server's answer
}

// evidenceRun is an agent in one of the cases.
type evidenceRun struct {
	now time.Time
	g   *Gate
}

func newEvidenceRun(complete bool) *evidenceRun {
	x := &evidenceRun{now: time.Unix(1000, 0)}
	x.g = NewGate(x.now, GateConfig{Service: listing, MaxFlows: 64}, nil)
	sequence := uint64(7)
	if complete {
		sequence = 1
	}
	x.g.Heartbeat(x.now, Heartbeat{Instance: "a", Sequence: sequence, Service: listing, Slots: 5})
	x.g.Effects()
	return x
}

func (x *evidenceRun) receive(kind MessageKind, s Segment) {
	s.Key = caseKey
	x.g.FromBalancer(x.now, balancerA, &Message{Kind: kind, Service: listing}, &s, []byte{1})
}

func (x *evidenceRun) fromServer(s Segment) {
	s.Key = caseKey
	x.g.FromServer(x.now, s, []byte{2})
}

func (x *evidenceRun) first() { x.receive(Open, Segment{Seq: caseOpener, Syn: true}) }
func (x *evidenceRun) firstAnswer() {
	x.fromServer(Segment{Seq: caseFirst, Ack: caseOpener + 1, Syn: true, HasAck: true})
}
func (x *evidenceRun) answer() {
	x.fromServer(Segment{Seq: caseNextAck - caseAnswer, Ack: caseNextSeq, HasAck: true, Data: caseAnswer})
}
func (x *evidenceRun) request() {
	x.receive(Pass, Segment{Seq: caseOpener + 1, Ack: caseNextAck - caseAnswer, HasAck: true, Data: caseRequest})
}

// open has the agent see the whole flow.
func (x *evidenceRun) open() {
	x.first()
	x.firstAnswer()
	x.request()
	x.answer()
}

func (x *evidenceRun) close() {
	x.receive(Pass, Segment{Seq: caseNextSeq, Ack: caseNextAck, HasAck: true, Fin: true})
}

var evidenceCases = []evidenceCase{
	{"first packet, complete table", true, (*evidenceRun).open, FlowHeld, FlowNotHeld, FlowHeld},
	{"first packet, incomplete table", false, (*evidenceRun).open, FlowHeld, FlowHeld, FlowHeld},
	{"first packet without an answer", false, (*evidenceRun).first, FlowUnknown, FlowUnknown, FlowUnknown},
	{"first packet read late", false, func(x *evidenceRun) { x.first(); x.firstAnswer() }, FlowNeedsPacket, FlowNeedsPacket, FlowHeld},
	{"repeated answer to the first packet", false, (*evidenceRun).firstAnswer, FlowNeedsPacket, FlowNeedsPacket, FlowHeld},
	{"first packet read late, then data", false, func(x *evidenceRun) { x.first(); x.firstAnswer(); x.answer() }, FlowHeld, FlowHeld, FlowHeld},
	{"data from the middle", false, (*evidenceRun).answer, FlowHeld, FlowHeld, FlowHeld},
	{"probe without an answer", false, (*evidenceRun).request, FlowNeedsPacket, FlowNeedsPacket, FlowNeedsPacket},
	{"probe", false, func(x *evidenceRun) { x.request(); x.answer() }, FlowHeld, FlowHeld, FlowHeld},
	{"earlier start of the server", true, func(x *evidenceRun) {
		x.open()
		x.g.Heartbeat(x.now, Heartbeat{Instance: "b", Sequence: 1, Service: listing, Slots: 5})
	}, FlowLost, FlowNotHeld, FlowLost},
	{"earlier start, seen in the middle", false, func(x *evidenceRun) {
		x.answer()
		x.g.Heartbeat(x.now, Heartbeat{Instance: "b", Sequence: 1, Service: listing, Slots: 5})
	}, FlowLost, FlowLost, FlowLost},
	{"closed by the caller", true, func(x *evidenceRun) { x.open(); x.close() }, FlowHeld, FlowNotHeld, FlowHeld},
	{"closed by both ends", true, func(x *evidenceRun) {
		x.open()
		x.close()
		x.fromServer(Segment{Seq: caseNextAck, Ack: caseNextSeq + 1, HasAck: true, Fin: true})
	}, FlowHeld, FlowNotHeld, FlowHeld},
	{"evicted, then data", true, func(x *evidenceRun) {
		x.open()
		x.g.removeFlow(caseKey, RemovedEvicted)
		x.answer()
	}, FlowHeld, FlowHeld, FlowHeld},
}

// Guards against an answer about a flow that the entry of its port does not describe: a reset of
// an open flow, or packets that go to a server that does not hold it.
func TestAnswersRestOnEvidence(t *testing.T) {
	for _, c := range evidenceCases {
		t.Run(c.name, func(t *testing.T) {
			x := newEvidenceRun(c.complete)
			c.do(x)
			f := x.g.flows[caseKey]
			check := func(what string, p positions, want ...LookupResult) {
				t.Helper()
				if got, _ := x.g.answer(x.now, f, p); !slices.Contains(want, got) {
					t.Errorf("%s: %v, want %v", what, got, want)
				}
			}
			next := positions{caseNextSeq, caseNextAck, true, true}
			check("the flow's next packet", next, c.same)
			check("a packet after another answer", positions{caseNextSeq, caseNextAck + caseAnswer, true, true}, c.ahead)
			check("an old packet", positions{caseOpener + 1, caseNextAck - caseAnswer, true, true}, c.old)
			ofOther := []LookupResult{FlowNotHeld}
			switch c.same {
			case FlowNeedsPacket:
				ofOther = []LookupResult{FlowNotHeld, FlowNeedsPacket}
			case FlowUnknown:
				ofOther = []LookupResult{FlowUnknown}
			}
			const far = int64(caseFar)
			for _, d := range [][2]int64{{far, far}, {far, -far}, {-far, far}, {-far, -far}, {0, far}, {0, -far}, {far, 0}, {-far, 0}} {
				check("a packet of another flow", positions{caseNextSeq + uint32(d[0]), caseNextAck + uint32(d[1]), true, true}, ofOther...)
			}
			check("an acknowledgement of another flow", positions{ack: caseNextAck + caseFar, hasAck: true}, ofOther...)
			check("a reset of another flow without acknowledgement", positions{seq: caseNextSeq - caseFar, hasSeq: true}, ofOther...)
		})
	}
}

// ask returns what the agent does with a packet that a message of the given kind carries or names.
func (x *evidenceRun) ask(kind MessageKind, p positions) LookupResult {
	x.g.Effects()
	if kind == Query {
		q := append(make([]byte, numberSize), caseKey.Append(nil)...)
		x.g.FromBalancer(x.now, balancerA, &Message{Kind: Query}, nil, binary.LittleEndian.AppendUint32(q, p.ack))
	} else {
		x.receive(kind, Segment{Seq: p.seq, Ack: p.ack, HasAck: true, Data: 1})
	}
	result, held := FlowUnknown, false
	for _, e := range x.g.Effects() {
		switch {
		case e.Kind == SendServer:
			result = FlowNeedsPacket
		case e.Message.Kind == Held:
			held = true
		case e.Message.Kind == NotHeld && e.Message.Reason == ReasonLost:
			result = FlowLost
		case e.Message.Kind == NotHeld:
			result = FlowNotHeld
		case e.Message.Kind == QueryAnswer:
			result = resultFor(caseKey, e.Packet[numberSize:])
		}
	}
	delivered := kind != Query && result == FlowNeedsPacket && !x.g.flows[caseKey].probing
	if held || delivered {
		return FlowHeld
	}
	return result
}

// Guards against a balancer that gets another answer to a forwarded packet than to a lookup or a
// query of the same flow.
func TestAnswerDoesNotDependOnMessageKind(t *testing.T) {
	packets := map[string]positions{
		"next":            {caseNextSeq, caseNextAck, true, true},
		"old":             {caseOpener + 1, caseNextAck - caseAnswer, true, true},
		"of another flow": {caseNextSeq + caseFar, caseNextAck + caseFar, true, true},
		"of an older one": {caseNextSeq - caseFar, caseNextAck - caseFar, true, true},
	}
	for _, c := range evidenceCases {
		for what, p := range packets {
			var got [3]LookupResult
			for i, kind := range []MessageKind{Pass, Lookup, Query} {
				x := newEvidenceRun(c.complete)
				c.do(x)
				got[i] = x.ask(kind, p)
			}
			// A Query does not name the packet's sequence number, so less can be ruled out.
			if got[0] != got[1] || got[1] != got[2] && got[2] != FlowNeedsPacket {
				t.Errorf("%s, packet %s: Pass %v, Lookup %v, Query %v", c.name, what, got[0], got[1], got[2])
			}
		}
	}
}

// Guards against a server that is reset or replaced by a packet of another flow: a close or a reset
// of an older flow from the same port reaches the server of the open one.
func TestCloseOfOtherFlowIsNotDelivered(t *testing.T) {
	for _, c := range evidenceCases {
		if c.same != FlowHeld {
			continue
		}
		for name, s := range map[string]Segment{
			"FIN":                 {Seq: caseNextSeq - caseFar, Ack: caseNextAck + caseFar, HasAck: true, Fin: true},
			"RST":                 {Seq: caseNextSeq - caseFar, Ack: caseNextAck + caseFar, HasAck: true, Rst: true},
			"RST without its ACK": {Seq: caseNextSeq - caseFar, Rst: true},
		} {
			x := newEvidenceRun(c.complete)
			c.do(x)
			before := *x.g.flows[caseKey]
			x.g.Effects()
			x.receive(Pass, s)
			for _, e := range x.g.Effects() {
				if e.Kind == SendServer {
					t.Errorf("%s: the %s reaches the server", c.name, name)
				}
			}
			if f := x.g.flows[caseKey]; f == nil || f.state != before.state || f.callerClosed != before.callerClosed {
				t.Errorf("%s: the %s changes the flow's entry", c.name, name)
			}
		}
	}
}

// Guards against an open flow that is forgotten, in each state of its entry: the server sends a
// delayed first packet of an older flow from the same port back.
func TestDelayedFirstPacketLeavesEveryEntry(t *testing.T) {
	for _, c := range evidenceCases {
		x := newEvidenceRun(c.complete)
		c.do(x)
		if f := x.g.flows[caseKey]; !f.confirmed() || f.closed() || c.same != FlowHeld {
			continue
		}
		older := Segment{Seq: caseNextSeq - caseFar, Syn: true}
		x.receive(Open, older)
		older.Bounced = true
		x.fromServer(older)
		if got, _ := x.g.answer(x.now, x.g.flows[caseKey], positions{caseNextSeq, caseNextAck, true, true}); got != FlowHeld {
			t.Errorf("%s: %v, want held", c.name, got)
		}
	}
}

// Guards against an open flow that counts as lost: its server sends a packet of an older flow
// from the same port back.
func TestBouncedPacketOfOtherFlowLeavesFlowOpen(t *testing.T) {
	for _, c := range evidenceCases {
		if c.same != FlowHeld {
			continue
		}
		x := newEvidenceRun(c.complete)
		c.do(x)
		before := x.g.flows[caseKey].state
		x.fromServer(Segment{Seq: caseNextSeq - caseFar, Ack: caseNextAck + caseFar, HasAck: true, Bounced: true})
		if f := x.g.flows[caseKey]; f == nil || f.state != before {
			t.Errorf("%s: the flow has left its state", c.name)
		}
	}
}

// Guards against a reset that a caller accepts although another server holds its flow: an agent
// that does not know whether its server holds the flow sends a packet to it, and the server
// answers with a reset.
func TestResetThatAnswersProbeDoesNotReachCaller(t *testing.T) {
	for _, c := range evidenceCases {
		if c.same != FlowNeedsPacket {
			continue
		}
		x := newEvidenceRun(c.complete)
		c.do(x)
		for range 2 { // the balancer repeats the lookup before the server reacts
			x.receive(Lookup, Segment{Seq: caseNextSeq, Ack: caseNextAck, HasAck: true, Data: 1})
		}
		x.g.Effects()
		for range 2 {
			x.fromServer(Segment{Seq: caseNextAck, Rst: true})
		}
		notHeld := false
		for _, e := range x.g.Effects() {
			if e.Kind == SendCaller {
				t.Errorf("%s: the caller gets the reset", c.name)
			}
			notHeld = notHeld || e.Message.Kind == NotHeld && e.Message.Reason == ReasonNotHeld
		}
		if !notHeld {
			t.Errorf("%s: the balancer gets no answer", c.name)
		}
	}
}

// Guards against an agent that claims a flow of another server: its own server holds an older flow
// from the same port and acknowledges the packet of the other flow with its own position.
func TestServerOfOtherFlowDoesNotConfirmProbe(t *testing.T) {
	x := newEvidenceRun(false)
	x.receive(Lookup, Segment{Seq: caseNextSeq + caseFar, Ack: caseNextAck + caseFar, HasAck: true, Data: 1})
	x.g.Effects()
	x.fromServer(Segment{Seq: caseNextAck, Ack: caseNextSeq, HasAck: true})
	for _, e := range x.g.Effects() {
		if e.Message.Kind == Held {
			t.Error("the agent answers that its server holds the flow")
		}
	}
	if got, _ := x.g.answer(x.now, x.g.flows[caseKey], positions{caseNextSeq, caseNextAck, true, true}); got != FlowHeld {
		t.Errorf("the older flow: %v, want held", got)
	}
}
