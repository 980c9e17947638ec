package lab

import "time"

// Result is what one run measured after its warm-up.
type Result struct {
	Policy    string
	Flows     uint64
	Whole     float64       // max/mean of outstanding requests, averaged over the run
	Window    float64       // the same per 10 s window, mean over windows
	Instant   float64       // max/mean of busy slots, mean over samples
	WaitP50   time.Duration // of requests for a slot
	WaitP99   time.Duration
	Slowed    float64 // mean factor of slow and cold servers on service times
	Refused   float64 // share of requests
	Failed    float64 // share of requests that met a failing server
	CrossZone float64 // share of flows whose balancer is in another zone
	HandedOn  float64 // share of flows that the first agent passed on
	Split     float64 // share of handshakes whose Initials met two agents
	Lost      float64 // share of Initials that met a dead agent
	Broken    uint64  // flows cut by a backend server's death
}

func (m *model) result(name string) Result {
	s := &m.stats
	return Result{
		Policy:    name,
		Flows:     s.flows,
		Whole:     m.maxToMean(func(s *server) float64 { return float64(s.whole) }),
		Window:    s.windows.value(),
		Instant:   s.instants.value(),
		WaitP50:   quantile(s, 50),
		WaitP99:   quantile(s, 99),
		Slowed:    s.factors.value(),
		Refused:   share(s.refused, s.requests),
		Failed:    share(s.failed, s.requests),
		CrossZone: share(s.crossZone, s.flows),
		HandedOn:  share(s.handedOn, s.flows),
		Split:     share(s.split, s.flows),
		Lost:      share(s.lost, s.flows),
		Broken:    s.broken,
	}
}

func quantile(s *stats, q float64) time.Duration {
	return time.Duration(s.waits.ValueAtQuantile(q)-1) * time.Microsecond
}

func share(part, whole uint64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// Mean returns the mean of each figure of several runs of one policy.
func Mean(results []Result) Result {
	sum := Result{Policy: results[0].Policy}
	for _, r := range results {
		sum.Flows += r.Flows
		sum.Whole += r.Whole
		sum.Window += r.Window
		sum.Instant += r.Instant
		sum.WaitP50 += r.WaitP50
		sum.WaitP99 += r.WaitP99
		sum.Slowed += r.Slowed
		sum.Refused += r.Refused
		sum.Failed += r.Failed
		sum.CrossZone += r.CrossZone
		sum.HandedOn += r.HandedOn
		sum.Split += r.Split
		sum.Lost += r.Lost
		sum.Broken += r.Broken
	}
	n := len(results)
	sum.Flows /= uint64(n)
	sum.Broken /= uint64(n)
	sum.WaitP50 /= time.Duration(n)
	sum.WaitP99 /= time.Duration(n)
	for _, x := range []*float64{
		&sum.Whole, &sum.Window, &sum.Instant, &sum.Slowed, &sum.Refused, &sum.Failed,
		&sum.CrossZone, &sum.HandedOn, &sum.Split, &sum.Lost,
	} {
		*x /= float64(n)
	}
	return sum
}
