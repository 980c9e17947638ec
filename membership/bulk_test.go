package membership_test

import (
	"testing"
	"time"

	. "github.com/hemlockscale/hemlockscale/membership"
	"github.com/hemlockscale/hemlockscale/membership/lab"
)

// Guards against a balancer that joins a fleet of more records than datagrams can
// carry soon, and takes minutes to load them or causes much repair: it must request
// a bulk transfer, and must not gossip the records of it.
func TestJoiningBalancerLoadsInBulk(t *testing.T) {
	x, list, _ := newFleet(t, 8, 2, 4, 400)
	joined := x.Balancer(50, 1, lab.AddrOf(RoleBalancer, 0))
	var from Record
	requested := func() bool {
		rec, ok := joined.Machine.BulkSource()
		from = rec
		return ok
	}
	if !x.Run(10*time.Second, requested) {
		t.Fatal("no bulk transfer is requested within 10 s")
	}
	buf, err := x.ProcessAt(from.Addr).Machine.EncodeAll()
	if err != nil {
		t.Fatal(err)
	}
	records, err := DecodeAll(buf)
	if err != nil {
		t.Fatal(err)
	}
	joined.Machine.MergeAll(x.Now, records)
	if q := joined.Machine.Stats().Queued; q > 10 {
		t.Errorf("%d records of the transfer are queued for gossip", q)
	}
	if !x.Run(10*time.Second, x.Converged) {
		t.Fatalf("not converged 10 s after the transfer:%.500s", x.Differences())
	}
	_ = list
}

// FuzzReceive passes arbitrary datagrams to both state machines. No datagram may
// cause a panic, an answer above MaxMessage, or many answers.
func FuzzReceive(f *testing.F) {
	x := newExchange(f, 1)
	rec := x.NewRecord(RoleAgent, 1, 0)
	rec.Version = 1
	peers := lab.Seeds(0, 1, 2)
	for _, m := range []*Message{
		{Kind: KindAnnounce, Records: []Record{rec}},
		{Kind: KindHeartbeat, Incarnation: rec.Incarnation, Version: 1},
		{Kind: KindAck, Incarnation: rec.Incarnation, Version: 1, Flags: FlagSendRecord | FlagSuspected, Peers: peers},
		{Kind: KindGossip, Records: []Record{rec}, Zones: []ZoneStatus{{ViewerRegion: "region-0", Zone: "zone-01", Region: "region-0", Epoch: 1, Witnesses: []uint64{1}}}},
		{Kind: KindGossip, Deltas: []Delta{{Addr: rec.Addr, Incarnation: 1, Version: 2, State: StateLeaving}}},
		{Kind: KindLivenessQuery, Incarnation: rec.Incarnation, Peers: peers[:1]},
		{Kind: KindLivenessReply, Incarnation: rec.Incarnation, Peers: peers[:1], Flags: FlagUnresponsive},
		{Kind: KindRootDigest, Hash: 1, Count: 3, Records: []Record{rec}},
		{Kind: KindGroupDigests, Hashes: make([]byte, GroupCount*HashLen)},
		{Kind: KindBucketDigests, Index: 3, Hashes: make([]byte, GroupSize*HashLen)},
		{Kind: KindRecordDigests, Buckets: []uint16{7, 8}, Peers: peers, Hashes: make([]byte, 3*HashLen)},
		{Kind: KindRecordRequest, Peers: peers},
		{Kind: KindRepair, Records: []Record{rec}},
	} {
		b, err := Encode(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		msg, err := Decode(b)
		if err != nil {
			return
		}
		x := newExchange(t, 1)
		list := x.Fleet(4, 2)
		agent := x.Agent(1, 0, peers...)
		from := agent.Record.Addr
		agent.Announcer.Receive(x.Now, from, msg)
		list[0].Machine.Receive(x.Now, from, msg)
		list[0].Machine.Receive(x.Now, list[1].Record.Addr, msg)
		list[0].Machine.Tick(x.Now.Add(lab.TickEvery))
		out := list[0].Machine.Outbox()
		if len(out) > 100 {
			t.Errorf("one message caused %d answers", len(out))
		}
		for _, e := range out {
			if _, err := Encode(e.Msg); err != nil {
				t.Error(err)
			}
		}
	})
}
