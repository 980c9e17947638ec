package admission

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var measure = flag.Bool("admission.measure", false, "run the measurements of docs/measure/admission.md")

const modelTime = 30 * time.Second

func newOurs(seed uint64) ours {
	return ours{New(t0, Config{Slots: 5, Queue: 50, Rand: rand.New(rand.NewPCG(seed, 4))})}
}

// policies returns the ways compared, by name.
func policies(seed uint64) []struct {
	name string
	p    policy
} {
	return []struct {
		name string
		p    policy
	}{
		{"ours", newOurs(seed)},
		{"fifo bounded 50", &fifo{slots: 5, bound: 50, gone: map[uint64]bool{}}},
		{"fifo unbounded", &fifo{slots: 5, gone: map[uint64]bool{}}},
		{"no limit", &fifo{slots: 1 << 30, gone: map[uint64]bool{}}},
	}
}

// full is the backend server's capacity in requests a second.
const full = 5 / 0.02

func TestMeasureGoodput(t *testing.T) {
	if !*measure {
		return
	}
	loads := []float64{0.1, 0.5, 0.8, 1, 1.5, 2, 5, 10}
	for _, mode := range []string{"", "returns", "impatient", "returns impatient"} {
		fmt.Printf("\ngoodput / capacity, callers: %q\n%-16s", mode, "load")
		for _, l := range loads {
			fmt.Printf("%7.1f", l)
		}
		for i := range policies(1) {
			fmt.Printf("\n%-16s", policies(1)[i].name)
			for _, l := range loads {
				if i == 3 && l > 2 {
					fmt.Printf("%7s", "-")
					continue
				}
				m := newModel(1, policies(1)[i].p)
				m.returns = mode == "returns" || mode == "returns impatient"
				m.impatient = mode == "impatient" || mode == "returns impatient"
				m.arrive("a", l*full, modelTime)
				m.run(modelTime)
				fmt.Printf("%7.3f", float64(m.total())/full/modelTime.Seconds())
			}
		}
		fmt.Println()
	}
}

func TestMeasureFairness(t *testing.T) {
	if !*measure {
		return
	}
	fmt.Println("\nshare of its callers served in time: one owner at 10 times its quarter, three at half")
	for _, c := range policies(1)[:2] {
		m := newModel(1, c.p)
		m.arrive("greedy", 10*full/4, modelTime)
		for _, o := range []string{"b", "c", "d"} {
			m.arrive(o, 0.5*full/4, modelTime)
		}
		m.run(modelTime)
		fmt.Printf("%-16s", c.name)
		for _, o := range []string{"greedy", "b", "c", "d"} {
			fmt.Printf(" %s %.3f", o, float64(m.good[o])/float64(m.offered[o]))
		}
		fmt.Printf("  goodput %.3f\n", float64(m.total())/full/modelTime.Seconds())
	}
}

func TestMeasureSlowPhase(t *testing.T) {
	if !*measure {
		return
	}
	fmt.Println("\ngoodput / capacity by phase at load 0.8: before, 30 s at a fifth of the speed, first 5 s after, rest")
	for _, c := range policies(1) {
		m := newModel(1, c.p)
		m.slow = func(now time.Time) float64 {
			if s := now.Sub(t0); s >= 20*time.Second && s < 50*time.Second {
				return 5
			}
			return 1
		}
		m.arrive("a", 0.8*full, 80*time.Second)
		m.run(80 * time.Second)
		fmt.Printf("%-16s", c.name)
		for _, s := range [][2]int{{0, 20}, {20, 50}, {50, 55}, {55, 80}} {
			n := 0
			for i := s[0]; i < s[1]; i++ {
				n += m.goodAt[i]
			}
			fmt.Printf(" %.3f", float64(n)/full/float64(s[1]-s[0]))
		}
		fmt.Println()
	}
}

func TestMeasureCapacity(t *testing.T) {
	if !*measure {
		return
	}
	fmt.Println("\nbackend server that carries 3 of 5 slots, each more costs: goodput / its capacity at load 2 of it")
	for _, thrash := range []float64{0, 0.3, 1} {
		for _, c := range policies(1)[:2] {
			m := newModel(1, c.p)
			m.capacity, m.thrash = 3, thrash
			const long = 4 * modelTime
			m.arrive("a", 2*full*3/5, long)
			m.run(long)
			last := 0
			for s := 90; s < 120; s++ {
				last += m.goodAt[s]
			}
			fmt.Printf("thrash %.1f %-16s %.3f, in the last 30 s of 120 %.3f\n", thrash, c.name,
				float64(m.total())/(full*3/5)/long.Seconds(), float64(last)/(full*3/5)/30)
		}
	}
	fmt.Println("\nbackend server that answers 503 above 3 at work, load 2 of 3 slots: goodput / its capacity, 503s per answer")
	for _, c := range policies(1)[:2] {
		m := newModel(1, c.p)
		m.capacity = 3
		sheds := 0
		m.shed = func(n int) bool {
			if n > 3 {
				sheds++
			}
			return n > 3
		}
		m.arrive("a", 2*full*3/5, modelTime)
		m.run(modelTime)
		fmt.Printf("%-16s %.3f %.3f\n", c.name, float64(m.total())/(full*3/5)/modelTime.Seconds(), float64(sheds)/float64(m.total()))
	}
}

func TestMeasureReturns(t *testing.T) {
	if !*measure {
		return
	}
	fmt.Println("\nburst of 500 callers at once, then load 0.5: returning callers in the fullest 100 ms, good of all")
	for _, c := range policies(1)[:2] {
		m := newModel(1, c.p)
		m.returns = true
		for range 500 {
			m.arrive("burst", 0.0001, 0)
		}
		m.arrive("a", 0.5*full, 20*time.Second)
		m.run(20 * time.Second)
		most := 0
		for _, n := range m.returnedAt {
			most = max(most, n)
		}
		fmt.Printf("%-16s %d %.3f\n", c.name, most, float64(m.total())/float64(m.offered["a"]+m.offered["burst"]))
	}
}

func TestMeasureLongFlows(t *testing.T) {
	if !*measure {
		return
	}
	fmt.Println("\nshort requests at load 0.6 and feeds of 10 s opened at 0.2, 50 a second: share of short, of feeds opened in time")
	for _, hold := range []bool{false, true} {
		m := newModel(1, newOurs(1))
		m.holdSlots = hold
		m.arrive("short", 0.6*full, modelTime)
		m.arriveFlows("feeds", 0.2*full, modelTime, 10*time.Second)
		m.run(modelTime)
		fmt.Printf("slot held to the end %-5v %.3f %.3f\n", hold,
			float64(m.good["short"])/float64(m.offered["short"]), float64(m.good["feeds"])/float64(m.offered["feeds"]))
	}
	fmt.Println("2,000 feeds come back at once, short requests at load 0.6: share of short in the first 2 s, feeds opened, refused")
	m := newModel(1, newOurs(1))
	m.returns, m.patience = true, time.Second
	m.arrive("short", 0.6*full, 2*time.Second)
	for range 2000 {
		m.arriveFlows("feeds", 0.0001, 0, time.Hour)
	}
	m.run(60 * time.Second)
	fmt.Printf("%.3f %d %d\n", float64(m.good["short"])/float64(m.offered["short"]), m.good["feeds"], m.refusals)
}

func TestMeasureRetries(t *testing.T) {
	if !*measure {
		return
	}
	var b Budget
	attempts := 0
	const offered = 100_000
	for range offered {
		b.Offered()
		attempts++
		for range 3 { // each attempt fails
			if b.Retry(t0, Request{Idempotent: true}, 0) {
				attempts++
			}
		}
	}
	fmt.Printf("\nfull failure, 3 retries wanted each: attempts / offered %.4f\n", float64(attempts)/offered)
}

func BenchmarkOfferDone(b *testing.B) {
	c := New(t0, Config{Slots: 5})
	now := t0
	b.ReportAllocs()
	for i := uint64(1); b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		c.Offer(now, Request{ID: i, Owner: "a", Deadline: now.Add(time.Second)})
		c.Done(now, i, Result{Outcome: OK})
	}
}

// BenchmarkOfferQueued has five slots busy and 45 requests of three owners
// waiting: each Done starts one, each Offer queues one.
func BenchmarkOfferQueued(b *testing.B) {
	c := New(t0, Config{Slots: 5, Queue: 50, ServiceTime: time.Millisecond})
	owners := []string{"a", "b", "c"}
	now := t0
	var running []uint64
	var buf []Effect
	offer := func(i uint64) {
		d := c.Offer(now, Request{ID: i, Owner: owners[i%3], Deadline: now.Add(time.Hour)})
		if d.Verdict == Admitted {
			running = append(running, i)
		}
	}
	for i := range uint64(50) {
		offer(i)
	}
	b.ReportAllocs()
	for i := uint64(50); b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		c.Done(now, running[0], Result{Outcome: OK})
		running = append(running[:0], running[1:]...)
		buf = c.Effects(buf[:0])
		for _, e := range buf {
			running = append(running, e.ID)
		}
		offer(i)
	}
}

func BenchmarkOfferRefused(b *testing.B) {
	c := New(t0, Config{Slots: 5, Queue: -1})
	for i := range uint64(5) {
		c.Offer(t0, Request{ID: i, Owner: "a"})
	}
	b.ReportAllocs()
	for b.Loop() {
		c.Offer(t0, Request{ID: 99, Owner: "a"})
	}
}
