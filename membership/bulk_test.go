package membership

import (
	"testing"
	"time"
)

// Symptom: a new balancer takes minutes to know a large fleet, or loads the
// others with repair.
// Sequence: it joins a fleet of more records than datagrams can carry soon.
// Cause: the need for a bulk transfer isn't noticed, or the transfer is passed
// on as news.
func TestJoiningBalancerLoadsInBulk(t *testing.T) {
	x, list, _ := region(t, 8, 2, 4, 400)
	joined := x.balancer(50, 1, addrOf(RoleBalancer, 0))
	var from Record
	asked := func() bool {
		rec, ok := joined.machine.NeedsBulk()
		from = rec
		return ok
	}
	if !x.run(10*time.Second, asked) {
		t.Fatal("no bulk transfer is asked for within 10 s")
	}
	buf, err := x.by[from.Addr].machine.EncodeAll()
	if err != nil {
		t.Fatal(err)
	}
	records, err := DecodeAll(buf)
	if err != nil {
		t.Fatal(err)
	}
	joined.machine.MergeAll(x.now, records)
	if q := joined.machine.Stats().Queued; q > 10 {
		t.Errorf("%d records of the transfer are passed on as news", q)
	}
	if !x.run(10*time.Second, x.agree) {
		t.Fatalf("no agreement 10 s after the transfer:%.500s", x.differences())
	}
	_ = list
}

// FuzzReceive feeds arbitrary datagrams to both state machines: none may
// panic, be encoded beyond the bound, or be answered by many.
func FuzzReceive(f *testing.F) {
	x := newExchange(f, 1)
	rec := x.record(RoleAgent, 1, 0)
	rec.Version = 1
	peers := x.seeds(0, 1, 2)
	for _, m := range []*Message{
		{Kind: KindAnnounce, Records: []Record{rec}},
		{Kind: KindHeartbeat, Incarnation: rec.Incarnation, Version: 1},
		{Kind: KindAck, Incarnation: rec.Incarnation, Version: 1, Flags: FlagWant | FlagSuspected, Peers: peers},
		{Kind: KindGossip, Records: []Record{rec}, Zones: []ZoneFact{{Viewer: "region-0", Zone: "zone-01", Region: "region-0", Epoch: 1, Witnesses: []uint64{1}}}},
		{Kind: KindGossip, Deltas: []Delta{{Addr: rec.Addr, Incarnation: 1, Version: 2, State: StateLeaving}}},
		{Kind: KindDoubt, Incarnation: rec.Incarnation, Peers: peers[:1]},
		{Kind: KindOpinion, Incarnation: rec.Incarnation, Peers: peers[:1], Flags: FlagSilent},
		{Kind: KindRoot, Hash: 1, Count: 3, Records: []Record{rec}},
		{Kind: KindGroups, Hashes: make([]byte, groupCount*hashLen)},
		{Kind: KindBuckets, Index: 3, Hashes: make([]byte, groupSize*hashLen)},
		{Kind: KindSummary, Buckets: []uint16{7, 8}, Peers: peers, Hashes: make([]byte, 3*hashLen)},
		{Kind: KindWant, Peers: peers},
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
		list := x.fleet(4, 2)
		agent := x.agent(1, 0, peers...)
		from := agent.rec.Addr
		agent.announcer.Receive(x.now, from, msg)
		list[0].machine.Receive(x.now, from, msg)
		list[0].machine.Receive(x.now, list[1].rec.Addr, msg)
		list[0].machine.Tick(x.now.Add(tickEvery))
		out := list[0].machine.Outbox()
		if len(out) > 100 {
			t.Errorf("%d messages in answer to one", len(out))
		}
		for _, e := range out {
			if _, err := Encode(e.Msg); err != nil {
				t.Error(err)
			}
		}
	})
}
