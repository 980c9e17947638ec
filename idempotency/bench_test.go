package idempotency

import (
	"encoding/binary"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"
)

func benchKey(i int) (k Key) {
	binary.BigEndian.PutUint64(k[:], uint64(i)*0x9e3779b97f4a7c15)
	return k
}

// BenchmarkVoterClaim measures a vote and the report that follows it.
func BenchmarkVoterClaim(b *testing.B) {
	cfg := Config{MaxKeys: 1 << 30}
	voter, now := newVotingVoter(cfg)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		c := Claim{Key: benchKey(i), ID: claim(uint64(i)).ID}
		if v := voter.Claim(now, c); v.Kind != Granted {
			b.Fatalf("vote %+v", v)
		}
		voter.Report(now, Report{Key: c.Key, ID: c.ID, State: Done, Status: 200})
		if i%1000 == 0 {
			now = now.Add(time.Second)
			voter.Confirm(now)
			voter.Tick(now)
		}
	}
}

// BenchmarkRequester measures a request from Begin to Finish with five voters,
// without the voters' own work.
func BenchmarkRequester(b *testing.B) {
	cfg := Config{Window: 1000 * time.Hour, Freshness: 1000 * time.Hour}
	q, _, now := newRequester(cfg, 7)
	var buf []Effect
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		q.Begin(now, uint64(i), benchKey(i))
		buf = q.Effects(buf[:0])
		for _, e := range buf {
			q.Receive(now, e.To, Vote{Key: e.Claim.Key, ID: e.Claim.ID, Kind: Granted})
		}
		if !q.Start(now, uint64(i)) {
			b.Fatal("not started")
		}
		q.Finish(now, uint64(i), Done, 200)
		now = now.Add(time.Millisecond)
		q.Tick(now)
		buf = q.Effects(buf[:0])
	}
}

// BenchmarkVoters measures the choice of five voters among 611 processes.
func BenchmarkVoters(b *testing.B) {
	e := NewElectorate(t0, Config{})
	var list VoterList
	for i := range 611 {
		list.Live = append(list.Live, addrPort(i))
	}
	e.Update(t0, list)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		e.voters(benchKey(i))
	}
}

// BenchmarkBytesPerKey reports the heap that 50,000 remembered keys take.
func BenchmarkBytesPerKey(b *testing.B) {
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		voter, now := newVotingVoter(Config{})
		for i := range DefaultMaxKeys {
			voter.Claim(now, Claim{Key: benchKey(i), ID: claim(uint64(i)).ID})
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		perKey := float64(after.HeapAlloc-before.HeapAlloc) / DefaultMaxKeys
		b.ReportMetric(perKey, "B/key")
		if perKey > RecordBytes {
			b.Errorf("%.0f bytes a key, stated bound %d", perKey, RecordBytes)
		}
		runtime.KeepAlive(voter)
	}
}

// BenchmarkCrashOfOne reports the share of requests with a new key that the
// other agents refuse in the ten seconds after one of n agents crashed.
func BenchmarkCrashOfOne(b *testing.B) {
	for _, n := range []int{2, 3, 4, 7, 11} {
		b.Run(string(rune('0'+n/10))+string(rune('0'+n%10)), func(b *testing.B) {
			refused, total := 0, 0
			for b.Loop() {
				sim := newSimulation(rand.Uint64(), n, testConfig(), faults{delay: 5 * time.Millisecond})
				sim.check = func(*call) {}
				sim.crash(sim.processes[0], time.Second)
				sim.run(10*time.Second, func() {
					if len(sim.calls) < 300 {
						sim.begin(1+sim.rng.IntN(n-1), benchKey(len(sim.calls)))
					}
				}, false)
				total += len(sim.calls)
				refused += len(sim.calls) - len(sim.ran)
			}
			b.ReportMetric(float64(refused)/float64(total), "refused/call")
		})
	}
}
