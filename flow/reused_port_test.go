package flow

import (
	"testing"
	"time"
)

// next returns the caller's next packet with data, after one answered request.
func (c *testCaller) next() Segment {
	c.w.t.Helper()
	a, ok := c.answer()
	if !ok {
		c.w.t.Fatal("the flow was not answered")
	}
	return Segment{Seq: c.seq + 51, Ack: a.Seq + 101, HasAck: true, Data: 50}
}

// Guards against a reset of an open flow: after a restart of its agent, a first packet that was
// read late is offered to that agent, which then denies what it has not seen of the flow.
func TestLateFirstPacketDoesNotHideOpenFlow(t *testing.T) {
	for name, late := range map[string]bool{"with the late packet": true, "without": false} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 3)
			c := w.caller(1000, listingPort)
			c.open(balancerA, 0)
			c.request(balancerA)
			n := c.holders()[0]
			w.restartAgent(n)
			w.heartbeat(n, w.server(n).sequence+1, false)
			if late {
				first := Segment{Key: c.key, Seq: c.seq, Syn: true}
				w.gate(n).FromBalancer(w.now, balancerB, &Message{Kind: Open, Service: listing}, &first, w.packet(first))
				w.deliver()
			}
			w.advance(6 * time.Second)
			c.send(balancerB, c.next())
			w.advance(time.Second)
			if len(w.resets) > 0 || c.served() != 2 {
				t.Errorf("%d resets, %d of 2 requests answered", len(w.resets), c.served())
			}
		})
	}
}
