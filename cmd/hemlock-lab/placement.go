package main

import (
	"io"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/hemlockscale/hemlockscale/internal/settings"
	"github.com/hemlockscale/hemlockscale/lab/figure"
	"github.com/hemlockscale/hemlockscale/placement"
	"github.com/hemlockscale/hemlockscale/placement/lab"
)

// placementSettings holds the flags of hemlock-lab placement.
type placementSettings struct {
	commonFlags
	agents, balancers, zones, maxParallel, seeds int
	duration, reportInterval                     time.Duration
	cases, policies                              []string
	remotePenalty, unknownOccupancy              uint
	options                                      lab.Options
}

func runPlacement(args []string, out io.Writer) error {
	s, err := parsePlacement(args)
	if err != nil {
		return err
	}
	return s.run(out)
}

func parsePlacement(args []string) (*placementSettings, error) {
	s := &placementSettings{}
	fs := s.newFlagSet("placement", "compares placement policies on a model of one service")
	fs.IntVar(&s.agents, "agents", 7, "backend servers of the service")
	fs.IntVar(&s.balancers, "balancers", 4, "balancers")
	fs.IntVar(&s.zones, "zones", 4, "availability zones")
	fs.DurationVar(&s.duration, "duration", 10*time.Minute, "simulated time per run; the first sixth is warm-up")
	fs.DurationVar(&s.reportInterval, "report-every", 0, "mean time between reports of one agent to one balancer; 0 is each case's default")
	fs.IntVar(&s.seeds, "seeds", 1, "runs per case and policy, with consecutive seeds starting at -seed; the mean is printed")
	stringList(fs, &s.cases, "cases", "cases to run, separated by commas; empty is all")
	stringList(fs, &s.policies, "policies", "policies to run, separated by commas; empty is all")
	fs.IntVar(&s.maxParallel, "parallel", 2, "number of runs in parallel")
	fs.IntVar(&s.options.Table.Samples, "samples", 0, "agents that a balancer compares to select the alternate; 0 is the default")
	fs.IntVar(&s.options.Decider.Margin, "margin", 0, "occupancy by which the primary must exceed the alternate; 0 is the default")
	fs.DurationVar(&s.options.Load.MaxAge, "max-age", 0, "age from which a report is ignored; 0 is the default")
	fs.UintVar(&s.remotePenalty, "remote-penalty", placement.DefaultRemotePenalty, "occupancy added to alternates in other zones, 0 to 255")
	fs.UintVar(&s.unknownOccupancy, "unknown", 0, "occupancy assumed for an agent without a recent report, 1 to 254; 0 is the default")
	if err := s.parse(fs, args); err != nil {
		return nil, err
	}
	s.options.Table.RemotePenalty = uint8(s.remotePenalty)
	s.options.Load.Unknown = placement.Occupancy(s.unknownOccupancy)
	return s, s.check()
}

func (s *placementSettings) check() error {
	return settings.FirstError(
		inRange("agents", s.agents, 2, 1_000_000),
		inRange("balancers", s.balancers, 1, 1_000_000),
		inRange("zones", s.zones, 1, 1_000_000),
		inRange("duration", s.duration, time.Minute, 1000*time.Hour),
		inRange("parallel", s.maxParallel, 1, 1000),
		inRange("seeds", s.seeds, 1, 1_000_000),
		inRange("remote-penalty", s.remotePenalty, 0, uint(placement.Full)),
		inRange("unknown", s.unknownOccupancy, 0, uint(placement.Full)-1),
	)
}

// job is one case with one policy, and its result.
type job struct {
	c      lab.Case
	policy string
	result lab.Result
	err    error
}

// run sets result to the mean of runs with consecutive seeds, or err.
func (j *job) run(seeds int, o lab.Options) {
	results := make([]lab.Result, seeds)
	c := j.c
	for i := range results {
		results[i], j.err = lab.Run(c, j.policy, o)
		if j.err != nil {
			return
		}
		c.Seed++
	}
	j.result = lab.Mean(results)
}

// run runs the jobs, at most maxParallel at a time, and writes their results.
func (s *placementSettings) run(out io.Writer) error {
	jobs, err := s.plan()
	if err != nil {
		return err
	}
	slots := make(chan struct{}, s.maxParallel)
	var wg sync.WaitGroup
	for i := range jobs {
		slots <- struct{}{}
		wg.Go(func() {
			j := &jobs[i]
			j.run(s.seeds, s.options)
			<-slots
		})
	}
	wg.Wait()
	for _, j := range jobs {
		if j.err != nil {
			return j.err
		}
	}
	var rows [][]string
	for i := range jobs {
		rows = append(rows, jobs[i].row())
	}
	return figure.Write(out, s.output, columns, rows)
}

// plan returns a job for each selected case and policy.
func (s *placementSettings) plan() ([]job, error) {
	policies := lab.Policies
	if len(s.policies) > 0 {
		policies = s.policies
	}
	var jobs []job
	for _, c := range lab.Cases(s.agents, s.balancers, s.zones, s.duration, s.seed) {
		if len(s.cases) > 0 && !slices.Contains(s.cases, c.Name) {
			continue
		}
		if s.reportInterval > 0 {
			c.ReportEvery = s.reportInterval
		}
		for _, p := range policies {
			jobs = append(jobs, job{c: c, policy: p})
		}
	}
	if len(jobs) == 0 {
		return nil, &settings.Error{Setting: "cases", Reason: "no such case", Remedy: "leave it empty to run all"}
	}
	return jobs, nil
}

var columns = []string{"case", "policy", "flows", "max/mean", "10s", "busy", "wait p50 ms", "wait p99 ms",
	"slowed", "refused %", "failed %", "cross-zone %", "handed on %", "split %", "lost %", "broken"}

func (j *job) row() []string {
	r := &j.result
	return []string{
		j.c.Name, r.Policy, strconv.FormatUint(r.Flows, 10),
		ratio(r.OutstandingMaxToMean), ratio(r.WindowMaxToMean), ratio(r.BusyMaxToMean),
		millis(r.WaitP50), millis(r.WaitP99),
		ratio(r.Slowdown), percent(r.Refused), percent(r.Failed), percent(r.CrossZone), percent(r.Forwarded), percent(r.Split), percent(r.Lost),
		strconv.FormatUint(r.Broken, 10),
	}
}

func ratio(x float64) string        { return strconv.FormatFloat(x, 'f', 3, 64) }
func percent(x float64) string      { return strconv.FormatFloat(100*x, 'f', 2, 64) }
func millis(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }
