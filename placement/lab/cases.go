package lab

import "time"

// Cases returns the experiments for a service of n backend servers with 5 slots
// each, and the given numbers of balancers and zones. duration is the simulated
// time of each experiment, of which a sixth is warm-up.
func Cases(n, balancers, zones int, duration time.Duration, seed uint64) []Case {
	base := Case{
		Agents: n, Balancers: balancers, Zones: zones, Load: 0.8,
		Duration: duration, Warmup: duration / 6, Seed: seed,
	}
	var cases []Case
	add := func(name string, change func(*Case)) {
		c := base
		c.Name = name
		change(&c)
		cases = append(cases, c)
	}
	add("load-0.50", func(c *Case) { c.Load = 0.5 })
	add("load-0.80", func(c *Case) {})
	add("load-0.95", func(c *Case) { c.Load = 0.95 })
	add("short-0.80", func(c *Case) { c.Tail = Short })
	add("slow-one", func(c *Case) { c.Slow, c.Load = 1, 0.6 })
	add("failing-one", func(c *Case) { c.Failing, c.Load = 1, 0.6 })
	add("cold-start", func(c *Case) {
		c.Cold, c.ColdAt, c.ColdFor = max(1, n/7), duration/4, 30*time.Second
		c.Load = 0.8 * float64(n-c.Cold) / float64(n)
	})
	add("zone-loss", func(c *Case) { c.ZoneFails, c.ZoneFailsAt, c.Load = true, duration/2, 0.45 })
	add("lag-5s", func(c *Case) { c.Lag = 5 * time.Second })
	add("lag-10s", func(c *Case) { c.Lag = 10 * time.Second })
	add("lying-one", func(c *Case) { c.ZeroEndpoints = 1 })
	add("rosters-differ", func(c *Case) { c.Omitted = 1 })
	add("few-reports", func(c *Case) { c.ReportEvery = time.Second })
	add("many-balancers", func(c *Case) { c.Balancers, c.ReportEvery = 200, 10*time.Second })
	add("zone-fabric", func(c *Case) { c.ZoneAffinity = 0.9 })
	return cases
}
