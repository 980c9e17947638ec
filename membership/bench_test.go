package membership_test

import (
	"testing"

	. "github.com/hemlockscale/hemlockscale/membership"
	"github.com/hemlockscale/hemlockscale/membership/lab"
)

// BenchmarkTick measures a tick at the target size without changes: only the audit,
// the observations and one comparison per second run.
func BenchmarkTick(b *testing.B) {
	m, x, all := lab.TargetFleet(6)
	m.MergeAll(x.Now, all)
	m.Changes()
	now := x.Now
	b.ResetTimer()
	for b.Loop() {
		now = now.Add(lab.TickEvery)
		m.Tick(now)
		m.MarkConnected(now)
		m.Outbox()
		m.Changes()
	}
}

// BenchmarkHeartbeat measures one heartbeat of an agent: decode, receive, and
// encode the ack.
func BenchmarkHeartbeat(b *testing.B) {
	m, x, all := lab.TargetFleet(6)
	m.MergeAll(x.Now, all)
	var from *Record
	for i := range all {
		if all[i].Role == RoleAgent && all[i].Zone == lab.ZoneName(0) {
			from = &all[i]
			break
		}
	}
	hb, err := Encode(&Message{Kind: KindHeartbeat, Incarnation: from.Incarnation, Version: 1, Hash: m.ObserverHash(from.Addr)})
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(len(hb)), "B/heartbeat")
	for b.Loop() {
		msg, err := Decode(hb)
		if err != nil {
			b.Fatal(err)
		}
		m.Receive(x.Now, from.Addr, msg)
		for _, e := range m.Outbox() {
			if _, err := Encode(e.Msg); err != nil {
				b.Fatal(err)
			}
		}
	}
}

// BenchmarkGossip measures one gossip message with one newer record: encode,
// decode, and update the member list.
func BenchmarkGossip(b *testing.B) {
	m, x, all := lab.TargetFleet(6)
	m.MergeAll(x.Now, all)
	rec := all[len(all)-1]
	n := 0
	for b.Loop() {
		rec.Version++
		buf, err := Encode(&Message{Kind: KindGossip, Records: []Record{rec}})
		if err != nil {
			b.Fatal(err)
		}
		msg, err := Decode(buf)
		if err != nil {
			b.Fatal(err)
		}
		m.Receive(x.Now, all[1].Addr, msg)
		m.Changes()
		m.Outbox()
		n = len(buf)
	}
	b.ReportMetric(float64(n), "B/message")
}
