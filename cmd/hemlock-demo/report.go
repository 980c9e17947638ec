package main

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// propagationLimit is the time in which an accepted edit must be in force on every
// balancer.
const propagationLimit = 5 * time.Second

// report prints the results and returns whether all checks passed.
func report(w io.Writer, users []*user) (passed bool) {
	passed = true
	fmt.Fprintln(w)
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "service\tcalls\twhole\trefused\tunknown\tbroken\twrong\tlong flows\twhole\tran twice\tlost\tmax/mean\tp50\tp99")
	for _, u := range users {
		for _, s := range u.cfg.Services {
			t := u.load.tallies[s.Name]
			twice, lost := checkReservations(t, u.load.reservationRuns(s.Name))
			fmt.Fprintf(tw, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f\t%s\t%s\n",
				s.Name, t.calls, t.complete, t.refused, t.unknown, t.broken, t.wrong, t.flows, t.completeFlows,
				twice, lost, imbalance(t.byServer, u.drainedServer), formatMicroseconds(t.latency.ValueAtQuantile(50)), formatMicroseconds(t.latency.ValueAtQuantile(99)))
			passed = passed && t.broken == 0 && t.wrong == 0 && t.flows == t.completeFlows && twice == 0 && lost == 0
		}
	}
	tw.Flush()
	fmt.Fprintln(w)
	for _, u := range users {
		fmt.Fprintf(w, "%s: catalogue edit in force on every balancer after %v\n", u.name, u.propagation.Round(time.Millisecond))
		passed = passed && u.propagation <= propagationLimit
		for _, s := range u.cfg.Services {
			for _, p := range u.load.tallies[s.Name].errorTexts {
				fmt.Fprintf(w, "%s: %s\n", s.Name, p)
			}
		}
	}
	if passed {
		fmt.Fprintln(w, "all checks passed")
	} else {
		fmt.Fprintln(w, "A CHECK FAILED")
	}
	return passed
}

// checkReservations compares the reservations acknowledged to callers with the journals
// of the backend servers. It returns how many ran more than once, and how many
// acknowledged ones did not run.
func checkReservations(t *tally, runs map[string]int) (twice, lost int) {
	for _, n := range runs {
		if n > 1 {
			twice++
		}
	}
	for key := range t.acknowledged {
		if runs[key] == 0 {
			lost++
		}
	}
	return twice, lost
}

// imbalance returns the calls of the busiest backend server divided by the mean over all
// backend servers but the excluded one.
func imbalance(byServer map[string]int, excluded string) float64 {
	total, most, servers := 0, 0, 0
	for name, n := range byServer {
		if name == excluded {
			continue
		}
		total += n
		most = max(most, n)
		servers++
	}
	if total == 0 {
		return 0
	}
	return float64(most) * float64(servers) / float64(total)
}

func formatMicroseconds(n int64) time.Duration {
	return (time.Duration(n) * time.Microsecond).Round(100 * time.Microsecond)
}
