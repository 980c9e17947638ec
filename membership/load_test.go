package membership

import (
	"runtime"
	"testing"
	"time"
)

// The target size.
const (
	targetBalancers = 11_000
	targetAgents    = 94_000
	targetZones     = 18
)

// TestMeasureReports prints the traffic of balancers that observe as many
// agents each as at the target size, with nothing else happening.
func TestMeasureReports(t *testing.T) {
	n, d := 16, 20*time.Second
	if *measure {
		n, d = 128, time.Minute
	}
	agents := n * targetAgents / targetBalancers
	x, list, as := region(t, 4, 1, n, agents)
	before := sumStats(list)
	out, in := x.load(list, d), x.load(as, 0)
	in = x.load(as, d)
	after := sumStats(list)
	received := float64(after.ReceivedBytes-before.ReceivedBytes) / float64(n) / (2 * d.Seconds())
	t.Logf("%d balancers, %d agents: a balancer sends %.0f B/s in %.1f messages, receives %.0f B/s; an agent sends %.0f B/s in %.1f messages",
		n, agents, out.bytes, out.messages, received, in.bytes, in.messages)
	for k := range after.SentByKind {
		if b := after.SentByKind[k] - before.SentByKind[k]; b > 0 {
			t.Logf("  kind %2d: %.0f B/s sent a balancer", k, float64(b)/float64(n)/(2*d.Seconds()))
		}
	}
	if out.bytes > DefaultRate {
		t.Errorf("a balancer sends %.0f B/s at rest, its rate is %d", out.bytes, DefaultRate)
	}
}

func sumStats(list []*proc) Stats {
	var sum Stats
	for _, p := range list {
		s := p.machine.Stats()
		sum.ReceivedBytes += s.ReceivedBytes
		sum.Suspected += s.Suspected
		for k := range s.SentByKind {
			sum.SentByKind[k] += s.SentByKind[k]
		}
	}
	return sum
}

// TestMeasureFalseSuspicions prints how often healthy processes are suspected
// under loss and pauses.
func TestMeasureFalseSuspicions(t *testing.T) {
	n, agents, hours := 12, 40, 5*time.Minute
	if *measure {
		n, agents, hours = 64, 545, time.Hour
	}
	for _, c := range []struct {
		name  string
		loss  float64
		pause time.Duration // of one random process every ten seconds
	}{{"quiet", 0, 0}, {"loss 5%", 0.05, 0}, {"loss 20%", 0.2, 0}, {"pauses of 2 s", 0, 2 * time.Second}, {"pauses of 30 s", 0, 30 * time.Second}} {
		x, list, _ := region(t, 5, 2, n/2, agents/2)
		x.loss = c.loss
		before, wrong := sumStats(list).Suspected, 0
		resumed := map[*proc]time.Time{}
		x.onChange = func(_ *proc, c *Change) {
			p := x.by[c.Record.Addr]
			// Gossip may still tell of a pause that has just ended.
			if c.Record.Verdict != VerdictAlive && !p.paused && x.now.Sub(resumed[p]) > 3*time.Second {
				wrong++
			}
		}
		for end := x.now.Add(hours); x.now.Before(end); {
			if c.pause == 0 {
				x.run(10*time.Second, nil)
				continue
			}
			p := x.procs[x.rng.IntN(len(x.procs))]
			p.paused = true
			x.run(c.pause, nil)
			x.resume(p)
			resumed[p] = x.now
			x.run(max(10*time.Second-c.pause, time.Second), nil)
		}
		got := sumStats(list).Suspected - before
		t.Logf("%-14s %d balancers, %d agents: %d verdicts of suspicion in %v; rosters heard %d times of one about a process that wasn't paused", c.name, n, agents, got, hours, wrong)
		if c.loss <= 0.05 && c.pause < 2500*time.Millisecond && got > 0 || c.loss == 0 && wrong > 0 {
			t.Errorf("%s: %d suspicions, %d of healthy processes", c.name, got, wrong)
		}
	}
}

// target returns a machine that knows a fleet of the target size.
func target(tb testing.TB) (*Machine, *exchange, []Record) {
	x := newExchange(tb, 6)
	m, err := NewMachine(Config{Self: x.record(RoleBalancer, 0, 0)})
	if err != nil {
		tb.Fatal(err)
	}
	var all []Record
	for i := range targetBalancers + targetAgents {
		role := RoleAgent
		if i < targetBalancers {
			role = RoleBalancer
		}
		r := x.record(role, i%65536, i%targetZones)
		r.Version = 1
		if role == RoleAgent {
			r.Addr = addrOf(RoleAgent+Role(i>>16), i)
			r.Service = uint32(i % 33_000)
		}
		all = append(all, r)
	}
	return m, x, all
}

// TestMeasureMemory prints what a roster of the target size takes.
func TestMeasureMemory(t *testing.T) {
	m, x, all := target(t)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	m.MergeAll(x.now, all)
	m.Changes()
	runtime.GC()
	runtime.ReadMemStats(&after)
	heap := float64(after.HeapAlloc - before.HeapAlloc)
	bulk, err := m.EncodeAll()
	if err != nil {
		t.Fatal(err)
	}
	got, err := DecodeAll(bulk)
	if err != nil || len(got) != len(m.roster.index) {
		t.Fatalf("bulk: %d records, %v", len(got), err)
	}
	t.Logf("%d records: %.1f MB, %.0f B a record; in bulk %.1f MB, %.0f B a record",
		len(m.roster.index), heap/1e6, heap/float64(len(all)), float64(len(bulk))/1e6, float64(len(bulk))/float64(len(all)))
	if heap > 32e6 {
		t.Errorf("the roster takes %.1f MB, want at most half of the 64 MB", heap/1e6)
	}
	runtime.KeepAlive(all)
}

// BenchmarkTick measures a tick at the target size: nothing happens but the
// audit, the watches and one comparison a second.
func BenchmarkTick(b *testing.B) {
	m, x, all := target(b)
	m.MergeAll(x.now, all)
	m.Changes()
	now := x.now
	b.ResetTimer()
	for b.Loop() {
		now = now.Add(tickEvery)
		m.Tick(now)
		m.receivedAt = now
		m.Outbox()
		m.Changes()
	}
}

// BenchmarkHeartbeat measures one heartbeat of an agent from datagram to
// datagram: decode, receive, encode the ack.
func BenchmarkHeartbeat(b *testing.B) {
	m, x, all := target(b)
	m.MergeAll(x.now, all)
	var from *Record
	for i := range all {
		if all[i].Role == RoleAgent && all[i].Zone == zoneName(0) {
			from = &all[i]
			break
		}
	}
	t := m.roster.rank(keyOf(from.Addr), RoleAgent, 0)
	hb, err := Encode(&Message{Kind: KindHeartbeat, Incarnation: from.Incarnation, Version: 1, Hash: hashKeys(t.list())})
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(len(hb)), "B/heartbeat")
	for b.Loop() {
		msg, err := Decode(hb)
		if err != nil {
			b.Fatal(err)
		}
		m.Receive(x.now, from.Addr, msg)
		for _, e := range m.Outbox() {
			if _, err := Encode(e.Msg); err != nil {
				b.Fatal(err)
			}
		}
	}
}

// BenchmarkGossip measures one gossip message with one record that is news,
// from datagram to the roster.
func BenchmarkGossip(b *testing.B) {
	m, x, all := target(b)
	m.MergeAll(x.now, all)
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
		m.Receive(x.now, all[1].Addr, msg)
		m.Changes()
		m.Outbox()
		n = len(buf)
	}
	b.ReportMetric(float64(n), "B/message")
}

// TestMeasureDay prints the traffic while processes restart as often as on the
// ordinary day of the target size: 11,250 times in 24 hours, whatever n.
func TestMeasureDay(t *testing.T) {
	zones, balancers, agents, d := 3, 4, 6, 2*time.Minute
	if *measure {
		zones, balancers, agents, d = 18, 28, 56, 20*time.Minute
	}
	const between = 24 * time.Hour / 11_250
	x, list, as := region(t, 12, zones, balancers, agents)
	rest := x.load(list, 30*time.Second)
	start, before, received := x.now, x.sent(list), sumStats(list).ReceivedBytes
	restarts := 0
	for ; x.now.Sub(start) < d; restarts++ {
		i := x.rng.IntN(len(as))
		a := as[i]
		a.announcer.SetState(x.now, StateLeaving)
		x.flush(a)
		x.run(3*time.Second, nil)
		a.stopped = true
		x.run(time.Second, nil)
		as[i] = x.agent(i, i%zones, a.announcer.Observers()...)
		as[i].announcer.SetState(x.now, StateStarting)
		x.run(2*time.Second, nil)
		as[i].announcer.SetState(x.now, StateReady)
		x.flush(as[i])
		x.run(between-6*time.Second, nil)
	}
	per := float64(len(list)) * x.now.Sub(start).Seconds()
	sent := (x.sent(list).bytes - before.bytes) / per
	got := float64(sumStats(list).ReceivedBytes-received) / per
	t.Logf("%d balancers, %d agents, %d restarts in %v: a balancer sends %.0f B/s (%.0f at rest), receives %.0f B/s, %.0f B a restart",
		len(list), len(as), restarts, x.now.Sub(start), sent, rest.bytes, got, (sent-rest.bytes)*between.Seconds())
	if !x.run(20*time.Second, x.agree) {
		t.Errorf("rosters differ 20 s after the last restart:%.1000s", x.differences())
	}
	if both := sent + got; both > 8192 {
		t.Errorf("%.0f B/s sent and received", both)
	}
}
