package membership

import (
	"net/netip"
	"time"
)

// Timing holds the periods of a Machine. A zero field means its default.
type Timing struct {
	HeartbeatInterval time.Duration // between heartbeats of this balancer to its observers, default DefaultHeartbeatInterval
	SuspectAfter      time.Duration // time without a report after which an observer queries the other observers, default 2.5 s
	DeadAfter         time.Duration // from suspect to dead without a refutation, default 8 s
	SoleObserverAfter time.Duration // time overdue after which one observer decides alone, default 10 s
	ZoneLossAfter     time.Duration // time overdue after which an observer outside the zone becomes a witness that the whole zone is unreachable, default 2 s
	PauseAfter        time.Duration // gap between calls that counts as a pause of this process, default 1 s
	IsolatedAfter     time.Duration // time without any message after which no process is evaluated, default 1.5 s
	CompareInterval   time.Duration // between comparisons of digests, default 1 s
	ProbeInterval     time.Duration // between digests sent to balancers out of contact, default 15 s
	ForgetAfter       time.Duration // time for which dead records are kept, default 24 h
}

func (t *Timing) setDefaults() {
	set := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	set(&t.HeartbeatInterval, DefaultHeartbeatInterval)
	set(&t.SuspectAfter, 2500*time.Millisecond)
	set(&t.DeadAfter, 8*time.Second)
	set(&t.SoleObserverAfter, 10*time.Second)
	set(&t.ZoneLossAfter, 2*time.Second)
	set(&t.PauseAfter, time.Second)
	set(&t.IsolatedAfter, 1500*time.Millisecond)
	set(&t.CompareInterval, time.Second)
	set(&t.ProbeInterval, 15*time.Second)
	set(&t.ForgetAfter, 24*time.Hour)
}

// DefaultRate bounds what a Machine sends, in bytes per second on the wire. It
// receives about as much, so both together stay below 8 KB/s.
const DefaultRate = 3584

// MinRate is the lowest rate, in bytes per second, at which gossip can send
// full records.
const MinRate = 2048

// Config configures the Machine of a balancer.
type Config struct {
	Self         Record           // Role must be RoleBalancer
	Seeds        []netip.AddrPort // balancers contacted at the start
	Seed         uint64           // seeds the random choice of peers
	Rate         int              // bytes sent per second, default DefaultRate, at least MinRate; reports and acks are always sent
	Timing       Timing
	EntryVersion func(service uint32) uint64 // value that acks carry to processes of a service, 0 for none or unknown; may be nil
}

// ChangeKind is the kind of a Change.
type ChangeKind uint8

// The kinds of changes.
const (
	ChangeRecord ChangeKind = 1 // Record is new or replaces the one at its address
	ChangeRemove ChangeKind = 2 // Record was removed from the member list
	ChangeZone   ChangeKind = 3 // all of Zone became reachable or unreachable from here, see Reachable
)

// Change is one change of the member list.
type Change struct {
	Kind         ChangeKind
	Record       Record
	Zone, Region string
	Reachable    bool
}

// Stats holds counters since the start of a Machine and current sizes. Bytes are
// counted on the wire, headers and seal included.
type Stats struct {
	Records, Balancers              int // records in the member list now; live balancers
	Observed                        int // processes that this balancer observes
	SentMessages, SentBytes         uint64
	ReceivedMessages, ReceivedBytes uint64
	SentByKind                      [KindRepair + 1]uint64 // bytes
	Suspected, DeclaredDead         uint64                 // verdicts given by this balancer: suspect, dead
	Refuted                         uint64                 // verdicts about this balancer that it refuted
	Pauses                          uint64                 // pauses of this process that it detected
	RateLimited                     uint64                 // messages not sent because of Rate
	Queued                          int                    // records waiting for gossip
}
