package lab

import "time"

// Result holds the figures of one run, without its warm-up.
type Result struct {
	Policy               string
	Flows                uint64
	OutstandingMaxToMean float64       // max/mean over backend servers of outstanding requests, averaged over the run
	WindowMaxToMean      float64       // the same per 10 s window, mean over windows
	BusyMaxToMean        float64       // max/mean over backend servers of busy slots, mean over samples
	WaitP50              time.Duration // median time for which requests wait for a slot
	WaitP99              time.Duration // 99th percentile of the same
	Slowdown             float64       // mean factor of slow and cold backend servers on service times
	Refused              float64       // share of requests that were refused
	Failed               float64       // share of requests that reached a failing backend server
	CrossZone            float64       // share of flows whose balancer is in another zone
	Forwarded            float64       // share of flows that the first agent forwarded
	Split                float64       // share of handshakes whose Initials reached two agents
	Lost                 float64       // share of Initials that were sent to a failed agent
	Broken               uint64        // flows that ended with the failure of their backend server
}

func (m *model) result(name string) Result {
	s := &m.stats
	return Result{
		Policy:               name,
		Flows:                s.flows,
		OutstandingMaxToMean: m.maxToMean(func(s *server) float64 { return float64(s.outstandingTime) }),
		WindowMaxToMean:      s.windowRatios.value(),
		BusyMaxToMean:        s.busyRatios.value(),
		WaitP50:              quantile(s, 50),
		WaitP99:              quantile(s, 99),
		Slowdown:             s.factors.value(),
		Refused:              share(s.refused, s.requests),
		Failed:               share(s.failed, s.requests),
		CrossZone:            share(s.crossZone, s.flows),
		Forwarded:            share(s.forwarded, s.flows),
		Split:                share(s.split, s.flows),
		Lost:                 share(s.lost, s.flows),
		Broken:               s.broken,
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

// Mean returns the mean of each figure over several runs of one policy. results
// must not be empty.
func Mean(results []Result) Result {
	sum := Result{Policy: results[0].Policy}
	for _, r := range results {
		sum.Flows += r.Flows
		sum.OutstandingMaxToMean += r.OutstandingMaxToMean
		sum.WindowMaxToMean += r.WindowMaxToMean
		sum.BusyMaxToMean += r.BusyMaxToMean
		sum.WaitP50 += r.WaitP50
		sum.WaitP99 += r.WaitP99
		sum.Slowdown += r.Slowdown
		sum.Refused += r.Refused
		sum.Failed += r.Failed
		sum.CrossZone += r.CrossZone
		sum.Forwarded += r.Forwarded
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
		&sum.OutstandingMaxToMean, &sum.WindowMaxToMean, &sum.BusyMaxToMean, &sum.Slowdown, &sum.Refused, &sum.Failed,
		&sum.CrossZone, &sum.Forwarded, &sum.Split, &sum.Lost,
	} {
		*x /= float64(n)
	}
	return sum
}
