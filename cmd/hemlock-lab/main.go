// Command hemlock-lab runs placement policies side by side on a model of one
// service and prints what each case measured.
package main

import (
	"encoding/csv"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3"

	"github.com/hemlockscale/hemlockscale/placement"
	"github.com/hemlockscale/hemlockscale/placement/lab"
)

const exitUsage = 2

type settings struct {
	agents, balancers, zones, parallel, seeds int
	duration, reportEvery                     time.Duration
	seed                                      uint64
	cases, policies, output                   string
	options                                   lab.Options
}

// SettingError names a wrong setting and its remedy.
type SettingError struct{ Setting, Remedy string }

func (e *SettingError) Error() string { return fmt.Sprintf("-%s: %s", e.Setting, e.Remedy) }

func main() {
	s, err := parse(os.Args[1:], os.Stderr)
	if errors.Is(err, flag.ErrHelp) {
		return
	}
	if err == nil {
		err = run(s, os.Stdout)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "hemlock-lab:", err)
		os.Exit(exitUsage)
	}
}

func parse(args []string, usage io.Writer) (settings, error) {
	var s settings
	fs := flag.NewFlagSet("hemlock-lab", flag.ContinueOnError)
	fs.SetOutput(io.Discard)
	fs.IntVar(&s.agents, "agents", 7, "backend servers of the service")
	fs.IntVar(&s.balancers, "balancers", 4, "balancers")
	fs.IntVar(&s.zones, "zones", 4, "availability zones")
	fs.DurationVar(&s.duration, "duration", 10*time.Minute, "modelled time per run; a sixth is warm-up")
	fs.DurationVar(&s.reportEvery, "report-every", 0, "mean time between reports of one agent to one balancer; 0 is each case's own")
	fs.Uint64Var(&s.seed, "seed", 1, "seed of the flows")
	fs.IntVar(&s.seeds, "seeds", 1, "runs per case and policy, with seeds from -seed on; the mean is printed")
	fs.StringVar(&s.cases, "cases", "", "cases to run, separated by commas; empty is all")
	fs.StringVar(&s.policies, "policies", "", "policies to run, separated by commas; empty is all")
	fs.StringVar(&s.output, "o", "table", "output: table or csv")
	fs.IntVar(&s.parallel, "parallel", 2, "runs at once")
	fs.IntVar(&s.options.Table.Samples, "samples", 0, "agents that a balancer compares for the alternate; 0 is the default")
	fs.IntVar(&s.options.Decider.Margin, "margin", 0, "occupancy by which the primary must exceed the alternate; 0 is the default")
	fs.DurationVar(&s.options.Load.MaxAge, "max-age", 0, "age from which a report counts as unknown; 0 is the default")
	remote := fs.Uint("remote-penalty", placement.DefaultRemotePenalty, "occupancy added to alternates in other zones, 0 to 255")
	unknown := fs.Uint("unknown", 0, "occupancy assumed of an unknown agent, 1 to 254; 0 is the default")
	err := ff.Parse(fs, args, ff.WithEnvVarPrefix("HEMLOCK"))
	if errors.Is(err, flag.ErrHelp) {
		printUsage(fs, usage)
	}
	if err != nil {
		return s, err
	}
	if *remote > uint(placement.Full) || *unknown >= uint(placement.Full) {
		return s, &SettingError{"remote-penalty and -unknown", "give 0 to 255 and 0 to 254"}
	}
	s.options.Table.RemotePenalty = uint8(*remote)
	s.options.Load.Unknown = placement.Occupancy(*unknown)
	return s, s.check(fs)
}

func printUsage(fs *flag.FlagSet, out io.Writer) {
	fs.SetOutput(out)
	fmt.Fprintln(out, "hemlock-lab compares placement policies; each setting is also HEMLOCK_ and its name in capitals.")
	fs.PrintDefaults()
}

func (s *settings) check(fs *flag.FlagSet) error {
	switch {
	case fs.NArg() > 0:
		return &SettingError{fs.Arg(0), "is not a setting; see -h"}
	case s.agents < 2 || s.agents > 1_000_000:
		return &SettingError{"agents", "give 2 to 1000000"}
	case s.balancers < 1 || s.zones < 1:
		return &SettingError{"balancers and -zones", "give at least 1"}
	case s.duration < time.Minute:
		return &SettingError{"duration", "give at least 1m"}
	case s.parallel < 1 || s.seeds < 1:
		return &SettingError{"parallel and -seeds", "give at least 1"}
	case s.output != "table" && s.output != "csv":
		return &SettingError{"o", "give table or csv"}
	}
	return nil
}

// job is one run.
type job struct {
	c      lab.Case
	policy string
	result lab.Result
	err    error
}

// run fills in the mean result of seeds runs.
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

func run(s settings, out io.Writer) error {
	jobs, err := plan(s)
	if err != nil {
		return err
	}
	slots := make(chan struct{}, s.parallel)
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
	if s.output == "csv" {
		return writeCSV(out, jobs)
	}
	return writeTable(out, jobs)
}

func plan(s settings) ([]job, error) {
	policies := lab.Policies
	if s.policies != "" {
		policies = strings.Split(s.policies, ",")
	}
	wanted := strings.Split(s.cases, ",")
	var jobs []job
	for _, c := range lab.Cases(s.agents, s.balancers, s.zones, s.duration, s.seed) {
		if s.cases != "" && !slices.Contains(wanted, c.Name) {
			continue
		}
		if s.reportEvery > 0 {
			c.ReportEvery = s.reportEvery
		}
		for _, p := range policies {
			jobs = append(jobs, job{c: c, policy: p})
		}
	}
	if len(jobs) == 0 {
		return nil, &SettingError{"cases", "no such case; leave it empty to see all"}
	}
	return jobs, nil
}

var columns = []string{"case", "policy", "flows", "max/mean", "10s", "busy", "wait p50 ms", "wait p99 ms",
	"slowed", "refused %", "failed %", "cross-zone %", "handed on %", "split %", "lost %", "broken"}

func (j *job) row() []string {
	r := &j.result
	return []string{
		j.c.Name, r.Policy, strconv.FormatUint(r.Flows, 10),
		ratio(r.Whole), ratio(r.Window), ratio(r.Instant),
		millis(r.WaitP50), millis(r.WaitP99),
		ratio(r.Slowed), percent(r.Refused), percent(r.Failed), percent(r.CrossZone), percent(r.HandedOn), percent(r.Split), percent(r.Lost),
		strconv.FormatUint(r.Broken, 10),
	}
}

func ratio(x float64) string        { return strconv.FormatFloat(x, 'f', 3, 64) }
func percent(x float64) string      { return strconv.FormatFloat(100*x, 'f', 2, 64) }
func millis(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }

func writeCSV(out io.Writer, jobs []job) error {
	w := csv.NewWriter(out)
	w.Write(columns)
	for i := range jobs {
		w.Write(jobs[i].row())
	}
	w.Flush()
	return w.Error()
}

func writeTable(out io.Writer, jobs []job) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, strings.Join(columns, "\t")+"\t")
	for i := range jobs {
		if i > 0 && jobs[i].c.Name != jobs[i-1].c.Name {
			fmt.Fprintln(w, strings.Repeat("\t", len(columns)))
		}
		fmt.Fprintln(w, strings.Join(jobs[i].row(), "\t")+"\t")
	}
	return w.Flush()
}
