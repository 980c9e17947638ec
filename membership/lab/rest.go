package lab

import (
	"runtime"
	"time"

	"github.com/hemlockscale/hemlockscale/membership"
)

// The target size of a fleet.
const (
	TargetBalancers = 11_000
	TargetAgents    = 94_000
	targetZones     = 18
	targetServices  = 33_000
	targetRestarts  = 11_250 // per day
)

// ReportsResult is the result of Reports.
type ReportsResult struct {
	Balancers, Agents int
	Balancer, Agent   Traffic   // per balancer, per agent
	Received          float64   // B/s per balancer
	ByKind            []float64 // B/s sent per balancer, by membership.Kind
}

// Reports measures the traffic at rest of a zone of n balancers with as many agents
// per balancer as at the target size: of the balancers for d, then of the agents
// for d.
func Reports(seed uint64, n int, d time.Duration) ReportsResult {
	x := NewExchange(seed)
	r := ReportsResult{Balancers: n, Agents: n * TargetAgents / TargetBalancers}
	list, as := ConvergedFleet(x, 1, n, r.Agents)
	before := SumStats(list)
	r.Balancer = x.Traffic(list, d)
	r.Agent = x.Traffic(as, d)
	after := SumStats(list)
	per := float64(n) * 2 * d.Seconds()
	r.Received = float64(after.ReceivedBytes-before.ReceivedBytes) / per
	for k := range after.SentByKind {
		r.ByKind = append(r.ByKind, float64(after.SentByKind[k]-before.SentByKind[k])/per)
	}
	return r
}

// Disturbance is a fault of the network or of a process that other, healthy
// processes are exposed to.
type Disturbance struct {
	Name  string
	Loss  float64
	Pause time.Duration // of one random process every ten seconds
}

// Disturbances are those of the suspicions experiment.
var Disturbances = []Disturbance{
	{"quiet", 0, 0}, {"loss 5%", 0.05, 0}, {"loss 20%", 0.2, 0},
	{"pauses of 2 s", 0, 2 * time.Second}, {"pauses of 30 s", 0, 30 * time.Second},
}

// SuspicionResult is the result of Suspicions.
type SuspicionResult struct {
	Verdicts uint64 // suspect verdicts by all balancers
	Wrong    int    // changes to suspect or dead, in all member lists, of processes that were not paused
}

// gossipDelay is how long gossip may still spread verdicts about a pause that has
// ended.
const gossipDelay = 3 * time.Second

// Suspicions counts the verdicts within d in a fleet of two zones with this many
// balancers and agents each, under the disturbance by.
func Suspicions(seed uint64, balancers, agents int, d time.Duration, by Disturbance) SuspicionResult {
	x := NewExchange(seed)
	list, _ := ConvergedFleet(x, 2, balancers, agents)
	x.Loss = by.Loss
	before := SumStats(list).Suspected
	var r SuspicionResult
	resumed := make(map[*Process]time.Time)
	x.OnChange = func(_ *Process, c *membership.Change) {
		p := x.byAddr[c.Record.Addr]
		if p != nil && c.Record.Verdict != membership.VerdictAlive && !p.Paused && x.Now.Sub(resumed[p]) > gossipDelay {
			r.Wrong++
		}
	}
	for end := x.Now.Add(d); x.Now.Before(end); {
		if by.Pause == 0 {
			x.Run(10*time.Second, nil)
			continue
		}
		p := x.Processes[x.Rand.IntN(len(x.Processes))]
		p.Paused = true
		x.Run(by.Pause, nil)
		x.Resume(p)
		resumed[p] = x.Now
		x.Run(max(10*time.Second-by.Pause, time.Second), nil)
	}
	r.Verdicts = SumStats(list).Suspected - before
	return r
}

// DayResult is the result of Day.
type DayResult struct {
	Balancers, Agents, Restarts int
	Took                        time.Duration
	Sent, Rest, Received        float64 // B/s per balancer; Rest is Sent before the restarts
	PerRestart                  float64 // bytes sent per balancer
	Differences                 string  // between the member lists 20 s after the last restart; empty if none
}

// Day restarts agents for d, as often as on an ordinary day at the target size:
// 11,250 times in 24 hours, for any size of the zones.
func Day(seed uint64, zones, balancers, agents int, d time.Duration) DayResult {
	const between = 24 * time.Hour / targetRestarts
	x := NewExchange(seed)
	list, as := ConvergedFleet(x, zones, balancers, agents)
	r := DayResult{Balancers: len(list), Agents: len(as), Rest: x.Traffic(list, 30*time.Second).Bytes}
	start, before, received := x.Now, Sent(list), SumStats(list).ReceivedBytes
	for ; x.Now.Sub(start) < d; r.Restarts++ {
		i := x.Rand.IntN(len(as))
		as[i] = x.restartAgent(as[i], i, i%zones)
		x.Run(between-6*time.Second, nil)
	}
	r.Took = x.Now.Sub(start)
	per := float64(len(list)) * r.Took.Seconds()
	r.Sent = Sent(list).rateSince(before, len(list), r.Took).Bytes
	r.Received = float64(SumStats(list).ReceivedBytes-received) / per
	r.PerRestart = (r.Sent - r.Rest) * between.Seconds()
	if !x.Run(20*time.Second, x.Converged) {
		r.Differences = x.Differences()
	}
	return r
}

// restartAgent has agent i leave, end, start and become ready, within 6 s.
func (x *Exchange) restartAgent(a *Process, i, z int) *Process {
	a.SetState(x.Now, membership.StateLeaving)
	x.Flush(a)
	x.Run(3*time.Second, nil)
	a.Stopped = true
	x.Run(time.Second, nil)
	b := x.Agent(i, z, a.Announcer.Observers()...)
	b.SetState(x.Now, membership.StateStarting)
	x.Run(2*time.Second, nil)
	b.SetState(x.Now, membership.StateReady)
	x.Flush(b)
	return b
}

// TargetFleet returns a machine and the records of a fleet of the target size, which
// are not yet in its member list.
func TargetFleet(seed uint64) (*membership.Machine, *Exchange, []membership.Record) {
	x := NewExchange(seed)
	m := x.Balancer(0, 0).Machine
	var all []membership.Record
	for i := range TargetBalancers + TargetAgents {
		role := membership.RoleAgent
		if i < TargetBalancers {
			role = membership.RoleBalancer
		}
		r := x.NewRecord(role, i%65536, i%targetZones)
		r.Version = 1
		if role == membership.RoleAgent {
			r.Addr = AddrOf(membership.RoleAgent+membership.Role(i>>16), i)
			r.Service = uint32(i % targetServices)
		}
		all = append(all, r)
	}
	return m, x, all
}

// MemoryResult is the result of Memory.
type MemoryResult struct {
	Records int     // in the member list
	Decoded int     // in the decoded bulk transfer
	Heap    float64 // bytes used by the member list
	Bulk    int     // bytes of the bulk transfer
}

// Memory measures the heap and the bulk transfer of a member list of the target size.
// Other work in the process distorts the heap.
func Memory(seed uint64) (MemoryResult, error) {
	m, x, all := TargetFleet(seed)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	m.MergeAll(x.Now, all)
	m.Changes()
	runtime.GC()
	runtime.ReadMemStats(&after)
	r := MemoryResult{Records: m.Stats().Records, Heap: float64(after.HeapAlloc) - float64(before.HeapAlloc)}
	bulk, err := m.EncodeAll()
	if err != nil {
		return r, err
	}
	got, err := membership.DecodeAll(bulk)
	r.Bulk, r.Decoded = len(bulk), len(got)
	runtime.KeepAlive(all)
	return r, err
}
