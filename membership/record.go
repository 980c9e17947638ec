package membership

import (
	"fmt"
	"net/netip"
)

// Role is the kind of a process.
type Role uint8

// The roles of the processes in the member list.
const (
	RoleBalancer Role = 1
	RoleAgent    Role = 2
)

// String returns the role's name.
func (r Role) String() string {
	switch r {
	case RoleBalancer:
		return "balancer"
	case RoleAgent:
		return "agent"
	}
	return fmt.Sprintf("role(%d)", uint8(r))
}

// State is what a process announces about itself. Leaving is final within an
// incarnation.
type State uint8

// The states of a process, in their usual order.
const (
	StateStarting State = 1 // not yet able to work
	StateReady    State = 2 // takes new work
	StateDraining State = 3 // takes no new work, may return to ready
	StateLeaving  State = 4 // takes no new work and will exit
)

// String returns the state's name.
func (s State) String() string {
	switch s {
	case StateStarting:
		return "starting"
	case StateReady:
		return "ready"
	case StateDraining:
		return "draining"
	case StateLeaving:
		return "leaving"
	}
	return fmt.Sprintf("state(%d)", uint8(s))
}

// Verdict is the result of failure detection by the observers of a process. A
// verdict applies to one version of a record: the process refutes it by
// announcing a higher version.
type Verdict uint8

// The verdicts, weakest first.
const (
	VerdictAlive   Verdict = 0
	VerdictSuspect Verdict = 1 // a majority of observers, or a sole one for longer, receives no reports; gets no new work
	VerdictDead    Verdict = 2 // still no report after Timing.DeadAfter
)

// String returns the verdict's name.
func (v Verdict) String() string {
	switch v {
	case VerdictAlive:
		return "alive"
	case VerdictSuspect:
		return "suspect"
	case VerdictDead:
		return "dead"
	}
	return fmt.Sprintf("verdict(%d)", uint8(v))
}

// MaxLabel is the longest zone or region name in bytes.
const MaxLabel = 32

// Record describes one process in the member list. Addr identifies it; a process
// that restarts at the same address has a higher Incarnation.
type Record struct {
	_ struct{} `cbor:",toarray"`

	Addr        netip.AddrPort // IPv4 address of the internal UDP socket
	Role        Role
	State       State
	Verdict     Verdict
	Weight      uint8  // relative share of new work, 0 to 255
	Service     uint32 // service number in the catalogue; 0 for a balancer
	Incarnation uint64 // start time of the process in Unix nanoseconds, or one above the incarnation that balancers have stored if that is higher
	Version     uint32 // number of announcements within an incarnation
	Bulk        uint16 // port for bulk transfers, 0 if none
	Admin       uint16 // port of the admin address, 0 if none
	Zone        string // availability zone
	Region      string
}

// Newer reports whether r replaces o: it has a later incarnation, or the same and
// a later version, or the same version and a stronger verdict.
func (r *Record) Newer(o *Record) bool {
	if r.Incarnation != o.Incarnation {
		return r.Incarnation > o.Incarnation
	}
	if r.Version != o.Version {
		return r.Version > o.Version
	}
	return r.Verdict > o.Verdict
}

// TakesWork reports whether the record allows new work for the process. The
// reachability of its zone is not considered.
func (r *Record) TakesWork() bool {
	return r.State == StateReady && r.Verdict == VerdictAlive && r.Weight > 0
}

// RecordError reports which field of a record is invalid, why, and the remedy.
type RecordError struct {
	Field  string
	Reason string
	Remedy string
}

func (e *RecordError) Error() string {
	return fmt.Sprintf("membership record, %s: %s; %s", e.Field, e.Reason, e.Remedy)
}

// Check returns a *RecordError if a field of r is out of bounds.
func (r *Record) Check() error {
	if !r.Addr.Addr().Is4() || r.Addr.Port() == 0 {
		return &RecordError{"Addr", "not an IPv4 address with a port", "give the address of the internal UDP socket"}
	}
	if r.Role != RoleBalancer && r.Role != RoleAgent {
		return &RecordError{"Role", r.Role.String(), "use RoleBalancer or RoleAgent"}
	}
	if r.State < StateStarting || r.State > StateLeaving {
		return &RecordError{"State", r.State.String(), "use one of the State constants"}
	}
	if r.Verdict > VerdictDead {
		return &RecordError{"Verdict", r.Verdict.String(), "use one of the Verdict constants"}
	}
	if r.Zone == "" || len(r.Zone) > MaxLabel {
		return &RecordError{"Zone", "empty or too long", fmt.Sprintf("give 1 to %d bytes", MaxLabel)}
	}
	if len(r.Region) > MaxLabel {
		return &RecordError{"Region", "too long", fmt.Sprintf("give at most %d bytes", MaxLabel)}
	}
	return nil
}

// key packs an IPv4 address and port into 48 bits.
type key uint64

func keyOf(a netip.AddrPort) key {
	ip := a.Addr().As4()
	v := uint64(ip[0])<<24 | uint64(ip[1])<<16 | uint64(ip[2])<<8 | uint64(ip[3])
	return key(v<<16 | uint64(a.Port()))
}

func (k key) addrPort() netip.AddrPort {
	ip := [4]byte{byte(k >> 40), byte(k >> 32), byte(k >> 24), byte(k >> 16)}
	return netip.AddrPortFrom(netip.AddrFrom4(ip), uint16(k))
}

// mix is the finalizer of splitmix64: a cheap 64-bit hash with good distribution.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
