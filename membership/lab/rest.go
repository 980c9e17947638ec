package lab

import (
	"runtime"
	"time"

	"github.com/hemlockscale/hemlockscale/membership"
)

// The target size.
const (
	TargetBalancers = 11_000
	TargetAgents    = 94_000
	targetZones     = 18
	targetServices  = 33_000
	targetRestarts  = 11_250 // a day
)

// ReportsResult is the traffic of a fleet to which nothing happens.
type ReportsResult struct {
	Balancers, Agents int
	Balancer, Agent   Traffic   // of one
	Received          float64   // B/s of a balancer
	ByKind            []float64 // B/s sent by a balancer, by membership.Kind
}

// Reports runs a zone of n balancers that observe as many agents each as at
// the target size, twice for d.
func Reports(seed uint64, n int, d time.Duration) ReportsResult {
	x := NewExchange(seed)
	r := ReportsResult{Balancers: n, Agents: n * TargetAgents / TargetBalancers}
	list, as := Settle(x, 1, n, r.Agents)
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

// Disturbance is what healthy processes have to bear.
type Disturbance struct {
	Name  string
	Loss  float64
	Pause time.Duration // of one random process every ten seconds
}

// Disturbances are those of the false-suspicions experiment.
var Disturbances = []Disturbance{
	{"quiet", 0, 0}, {"loss 5%", 0.05, 0}, {"loss 20%", 0.2, 0},
	{"pauses of 2 s", 0, 2 * time.Second}, {"pauses of 30 s", 0, 30 * time.Second},
}

// Suspicions returns how many verdicts of suspicion the balancers of two zones,
// so many balancers and agents each, give on healthy processes within d.
func Suspicions(seed uint64, balancers, agents int, d time.Duration, by Disturbance) uint64 {
	x := NewExchange(seed)
	list, _ := Settle(x, 2, balancers, agents)
	x.Loss = by.Loss
	before := SumStats(list).Suspected
	for end := x.Now.Add(d); x.Now.Before(end); {
		if by.Pause == 0 {
			x.Run(10*time.Second, nil)
			continue
		}
		p := x.Processes[x.Rand.IntN(len(x.Processes))]
		p.Paused = true
		x.Run(by.Pause, nil)
		x.Resume(p)
		x.Run(max(10*time.Second-by.Pause, time.Second), nil)
	}
	return uint64(SumStats(list).Suspected - before)
}

// DayResult is the traffic while processes restart as on an ordinary day.
type DayResult struct {
	Balancers, Agents, Restarts int
	Took                        time.Duration
	Sent, Rest, Received        float64 // B/s of a balancer; Rest is Sent before the restarts
	PerRestart                  float64 // B sent by a balancer
	Differences                 string  // between the rosters 20 s after the last restart; empty is none
}

// Day restarts agents for d, as often as on the ordinary day of the target
// size: 11,250 times in 24 hours, whatever the size of the zones.
func Day(seed uint64, zones, balancers, agents int, d time.Duration) DayResult {
	const between = 24 * time.Hour / targetRestarts
	x := NewExchange(seed)
	list, as := Settle(x, zones, balancers, agents)
	r := DayResult{Balancers: len(list), Agents: len(as), Rest: x.Traffic(list, 30*time.Second).Bytes}
	start, before, received := x.Now, Sent(list), SumStats(list).ReceivedBytes
	for ; x.Now.Sub(start) < d; r.Restarts++ {
		i := x.Rand.IntN(len(as))
		as[i] = x.restart(as[i], i, i%zones)
		x.Run(between-6*time.Second, nil)
	}
	r.Took = x.Now.Sub(start)
	per := float64(len(list)) * r.Took.Seconds()
	r.Sent = Sent(list).since(before, len(list), r.Took).Bytes
	r.Received = float64(SumStats(list).ReceivedBytes-received) / per
	r.PerRestart = (r.Sent - r.Rest) * between.Seconds()
	if !x.Run(20*time.Second, x.Agree) {
		r.Differences = x.Differences()
	}
	return r
}

// restart lets agent i leave, end, start and become ready, in 6 s.
func (x *Exchange) restart(a *Process, i, z int) *Process {
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

// Target returns a machine and the records of a fleet of the target size,
// which it doesn't know yet.
func Target(seed uint64) (*membership.Machine, *Exchange, []membership.Record) {
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

// MemoryResult is what a roster of the target size takes.
type MemoryResult struct {
	Records int     // in the roster
	Decoded int     // in the bulk transfer
	Heap    float64 // B
	Bulk    int     // B
}

// Memory measures the heap of this process: other work in it disturbs.
func Memory(seed uint64) (MemoryResult, error) {
	m, x, all := Target(seed)
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
