package membership

import (
	"net/netip"
	"time"
)

// Timing holds the periods of a Machine. A zero field means its default.
type Timing struct {
	HeartbeatInterval time.Duration // of this balancer to its observers, default DefaultInterval
	SuspectAfter      time.Duration // silence after which an observer asks the others, default 2.5 s
	DeadAfter         time.Duration // from suspect to dead without a refutation, default 8 s
	SoleObserverAfter time.Duration // doubt after which one observer decides alone, default 10 s
	ZoneLossAfter     time.Duration // doubt after which an observer outside the zone takes the zone for lost, default 2 s
	PauseAfter        time.Duration // gap between calls that counts as a pause of our own, default 1 s
	IsolatedAfter     time.Duration // without any message nobody is judged, default 1.5 s
	CompareInterval   time.Duration // between comparisons of digests, default 1 s
	ProbeInterval     time.Duration // between messages to balancers out of contact, default 15 s
	ForgetAfter       time.Duration // dead records are kept so long, default 24 h
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

// DefaultRate bounds what a Machine sends, in bytes a second on the wire. What
// it receives is about as much, so that both together stay below 8 KB/s.
const DefaultRate = 3584

// MinRate is the least rate with which gossip can send full records.
const MinRate = 2048

// Config describes a balancer's Machine.
type Config struct {
	Self         Record           // Role must be RoleBalancer
	Seeds        []netip.AddrPort // balancers to turn to at the start
	Seed         uint64           // seeds the choice of peers
	Rate         int              // bytes a second sent, default DefaultRate, at least MinRate; reports and acks always pass
	Timing       Timing
	EntryVersion func(service uint32) uint64 // value that acks carry to processes of a service, 0 for none or unknown; may be nil
}

// ChangeKind says what a Change reports.
type ChangeKind uint8

// The kinds of changes.
const (
	ChangeRecord ChangeKind = 1 // Record is new or replaces the one at its address
	ChangeRemove ChangeKind = 2 // Record was removed from the roster
	ChangeZone   ChangeKind = 3 // all of Zone became Reachable or not from here
)

// Change is one change of the roster.
type Change struct {
	Kind         ChangeKind
	Record       Record
	Zone, Region string
	Reachable    bool
}

// Stats counts what a Machine did since its start. Bytes are on the wire,
// headers and seal included.
type Stats struct {
	Records, Balancers              int // in the roster now; live balancers
	Observed                        int // processes that report here
	SentMessages, SentBytes         uint64
	ReceivedMessages, ReceivedBytes uint64
	SentByKind                      [KindRepair + 1]uint64 // bytes
	Suspected, DeclaredDead         uint64                 // verdicts given here: suspect, dead
	Refuted                         uint64                 // suspicions of this balancer that it refuted
	Pauses                          uint64                 // pauses of this process that it noticed
	RateLimited                     uint64                 // messages not sent because of Rate
	Queued                          int                    // records waiting for gossip
}
