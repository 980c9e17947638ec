package flow

import (
	"net/netip"
	"testing"
	"time"
)

// Guards against a reset of an open flow: answers about a delayed packet of an older flow from the
// same port are counted for the newer flow, whose packet arrives during the lookup, or arrive
// after it.
func TestAnswersAboutOlderFlowDoNotEndLookupOfNewerOne(t *testing.T) {
	for name, answersBefore := range map[string]bool{"answered before": true, "answered after": false} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 3)
			c := w.caller(firstPort, listingPort)
			c.open(balancerA, 0)
			c.request(balancerA)
			n := agentAddr(c.holders()[0])
			var late []Effect
			w.drops = func(from, to netip.AddrPort) bool { return to == balancerB && (from != n || !answersBefore) }
			older := c.next()
			older.Seq, older.Ack, older.Data = older.Seq+1<<30, older.Ack+1<<30, 0
			if !answersBefore {
				s := older
				s.Key = c.key
				w.gate(c.holders()[0]).FromBalancer(w.now, balancerB, &Message{Kind: Lookup}, &s, w.packet(s))
				for _, e := range clone(w.gate(c.holders()[0]).Effects()) {
					if e.Kind == SendMessage && e.Message.Kind == NotHeld {
						late = append(late, e)
					}
				}
				if len(late) == 0 {
					t.Fatal("the holder did not answer the older flow's packet")
				}
			}
			c.send(balancerB, older)
			c.send(balancerB, c.next())
			for _, e := range late {
				w.balancers[balancerB].FromAgent(w.now, n, &e.Message, nil, nil)
			}
			w.deliver()
			w.drops = func(from, to netip.AddrPort) bool { return to == balancerB && from == n }
			w.advance(500 * time.Millisecond)
			w.drops = nil
			for range 3 {
				c.send(balancerB, c.next())
				w.advance(400 * time.Millisecond)
			}
			if len(w.resets) > 0 || c.served() < 2 {
				t.Errorf("%d resets, %d of 2 requests answered", len(w.resets), c.served())
			}
		})
	}
}
