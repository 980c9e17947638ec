package membership

import (
	"flag"
	"math"
	"sort"
	"strconv"
	"strings"
	"testing"
	"time"
)

var (
	measure     = flag.Bool("membership.measure", false, "run the measurements at full size")
	measureN    = flag.String("membership.n", "8,32,128,512,1024,2048", "numbers of balancers to measure")
	measureLoss = flag.String("membership.loss", "0,0.05,0.2", "shares of messages lost")
)

// farDelay is the one-way time between regions, measured trials use it.
const farDelay = 50 * time.Millisecond

// geography delays messages between regions.
func geography(from, to *proc) time.Duration {
	if from.rec.Region == to.rec.Region {
		return exchangeStep
	}
	return farDelay
}

func zonesFor(n int) int { return min(max(n/8, 1), 18) }

// spread is the outcome of one run of changes.
type spread struct {
	most, all        []time.Duration // until 99.9 % and until all balancers know
	idle, busy       load
	missing          int // changes that not all knew at the end
	perChange        float64
	messagesOfChange float64
}

// load is the traffic of one balancer.
type load struct{ bytes, messages float64 }

func (x *exchange) load(list []*proc, d time.Duration) load {
	var l load
	before := x.sent(list)
	x.run(d, nil)
	after := x.sent(list)
	per := float64(len(list)) * d.Seconds()
	l.bytes = (after.bytes - before.bytes) / per
	l.messages = (after.messages - before.messages) / per
	return l
}

func (x *exchange) sent(list []*proc) load {
	var l load
	for _, p := range list {
		l.bytes += float64(p.sentBytes)
		l.messages += float64(p.sentMsgs)
	}
	return l
}

// measureSpread lets agents leave, one every half second, and notes when the
// balancers know.
func measureSpread(t testing.TB, n, changes int, loss float64) spread {
	x := newExchange(t, uint64(n))
	x.delay = geography
	zones := zonesFor(n)
	list := x.fleet(n, zones)
	var agents []*proc
	for i := range changes {
		z := i % zones
		agents = append(agents, x.agent(i, z, addrOf(RoleBalancer, z*n/zones)))
	}
	x.acquaint()
	x.run(15*time.Second, nil)
	x.loss = loss
	var s spread
	s.idle = x.load(list, 10*time.Second)
	known := map[string]*tally{}
	x.onChange = func(_ *proc, c *Change) {
		if k := known[c.Record.Addr.String()]; k != nil && c.Record.State == StateLeaving && c.Record.Verdict == VerdictAlive {
			k.note(x.now, n)
		}
	}
	const every = 500 * time.Millisecond
	start := x.sent(list)
	for _, a := range agents {
		known[a.rec.Addr.String()] = &tally{start: x.now}
		a.announcer.SetState(x.now, StateLeaving)
		x.flush(a)
		x.run(every, nil)
	}
	x.run(10*time.Second, nil)
	d := time.Duration(changes)*every + 10*time.Second
	end := x.sent(list)
	s.busy.bytes = (end.bytes - start.bytes) / float64(n) / d.Seconds()
	s.busy.messages = (end.messages - start.messages) / float64(n) / d.Seconds()
	s.perChange = (s.busy.bytes - s.idle.bytes) * d.Seconds() / float64(changes)
	s.messagesOfChange = (s.busy.messages - s.idle.messages) * d.Seconds() / float64(changes)
	for _, k := range known {
		s.most = append(s.most, k.most)
		if k.n < n {
			s.missing++
			continue
		}
		s.all = append(s.all, k.all)
	}
	return s
}

// tally counts the balancers that know one change.
type tally struct {
	start     time.Time
	n         int
	most, all time.Duration
}

func (k *tally) note(now time.Time, of int) {
	k.n++
	if k.n == int(math.Ceil(0.999*float64(of))) {
		k.most = now.Sub(k.start)
	}
	if k.n == of {
		k.all = now.Sub(k.start)
	}
}

func quantile(list []time.Duration, q float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	sort.Slice(list, func(i, j int) bool { return list[i] < list[j] })
	return list[min(int(q*float64(len(list))), len(list)-1)]
}

func numbers(t testing.TB, s string) []float64 {
	var list []float64
	for _, f := range strings.Split(s, ",") {
		v, err := strconv.ParseFloat(f, 64)
		if err != nil {
			t.Fatal(err)
		}
		list = append(list, v)
	}
	return list
}

// fit returns a and b of y = a + b*x by least squares.
func fit(xs, ys []float64) (a, b float64) {
	var sx, sy, sxx, sxy float64
	n := float64(len(xs))
	for i := range xs {
		sx, sy = sx+xs[i], sy+ys[i]
		sxx, sxy = sxx+xs[i]*xs[i], sxy+xs[i]*ys[i]
	}
	b = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return (sy - b*sx) / n, b
}

// TestMeasureSpread prints how long a change takes and what it costs, by the
// number of balancers. Without -membership.measure it runs small sizes, as a
// check that each change reaches every balancer.
func TestMeasureSpread(t *testing.T) {
	sizes, losses, changes := []float64{8, 64}, []float64{0, 0.2}, 10
	if *measure {
		sizes, losses, changes = numbers(t, *measureN), numbers(t, *measureLoss), 40
	}
	for _, loss := range losses {
		var logs, most, all, cost []float64
		for _, n := range sizes {
			s := measureSpread(t, int(n), changes, loss)
			t.Logf("n %5.0f loss %3.0f%%: 99.9%% p50 %v max %v, all p50 %v max %v, missing %d; idle %4.0f B/s %4.1f msg/s; a change %4.0f B %4.1f msg each",
				n, loss*100, quantile(s.most, 0.5), quantile(s.most, 1), quantile(s.all, 0.5), quantile(s.all, 1), s.missing,
				s.idle.bytes, s.idle.messages, s.perChange, s.messagesOfChange)
			if s.missing > 0 {
				t.Errorf("%d of %d changes are not known to all %v balancers", s.missing, changes, n)
			}
			logs = append(logs, math.Log2(n))
			most = append(most, quantile(s.most, 1).Seconds())
			all = append(all, quantile(s.all, 1).Seconds())
			cost = append(cost, s.perChange)
		}
		for _, f := range []struct {
			name string
			ys   []float64
		}{{"s until 99.9%, max", most}, {"s until all, max", all}, {"B a change", cost}} {
			a, b := fit(logs, f.ys)
			t.Logf("loss %3.0f%%: %s = %.3f + %.3f log2 n; at 11,000: %.2f", loss*100, f.name, a, b, a+b*math.Log2(11_000))
		}
	}
}

// TestMeasureBurst prints how long many changes at once take, and many a
// second, which the byte rate has to hold back.
func TestMeasureBurst(t *testing.T) {
	n, burst := 32, 40
	if *measure {
		n, burst = 512, 400
	}
	for _, every := range []time.Duration{0, 100 * time.Millisecond} {
		x := newExchange(t, 9)
		x.delay = geography
		zones := zonesFor(n)
		list := x.fleet(n, zones)
		var agents []*proc
		for i := range burst {
			agents = append(agents, x.agent(i, i%zones, addrOf(RoleBalancer, i%zones*n/zones)))
		}
		x.acquaint()
		x.run(15*time.Second, nil)
		known := map[string]*tally{}
		x.onChange = func(_ *proc, c *Change) {
			if k := known[c.Record.Addr.String()]; k != nil && c.Record.State == StateLeaving && c.Record.Verdict == VerdictAlive {
				k.note(x.now, n)
			}
		}
		start, before := x.now, x.sent(list)
		for _, a := range agents {
			known[a.rec.Addr.String()] = &tally{start: x.now}
			a.announcer.SetState(x.now, StateLeaving)
			x.flush(a)
			x.run(every, nil)
		}
		done := func() bool {
			for _, k := range known {
				if k.n < n {
					return false
				}
			}
			return true
		}
		if !x.run(2*time.Minute, done) {
			t.Errorf("not all changes are known after 2 minutes")
		}
		took := x.now.Sub(start)
		var all []time.Duration
		for _, k := range known {
			all = append(all, k.all)
		}
		bytes := (x.sent(list).bytes - before.bytes) / float64(n)
		t.Logf("n %d, %d changes, one every %v: known to all p50 %v p99 %v max %v; %.0f B/s a balancer, %.0f B a change",
			n, burst, every, quantile(all, 0.5), quantile(all, 0.99), quantile(all, 1), bytes/took.Seconds(), bytes/float64(burst))
	}
}
