package node

import (
	"net/netip"
	"time"

	"go.uber.org/zap"
)

// Settings is what the platform tells a process about itself.
type Settings struct {
	Name         string // of the VM
	Zone         string
	IP           netip.Addr
	InternalPort uint16 // port of balancers for the system's own messages (UDP) and for the configuration (TCP), alike on all VMs

	Packets   netip.AddrPort // UDP: callers' packets at a balancer, balancers' messages at an agent
	Readiness netip.AddrPort // TCP: asked by the routers
	Control   netip.AddrPort // TCP: heartbeats of the backend server
	Store     netip.AddrPort // TCP: the key-value store

	FromServer netip.AddrPort // agents, UDP: packets that the backend server sends
	Server     netip.AddrPort // agents: where the backend server takes packets
	Service    string         // agents: service of the backend server

	Zones             map[string]string // region of each availability zone; empty if not told
	Seeds             []netip.Addr      // VMs of some balancers; may be stale
	MaxFlowAge        time.Duration     // age from which a flow may be discarded
	Grace             time.Duration     // from SIGTERM to SIGKILL
	AddressReuseDelay time.Duration     // least time before another service gets a server's address
	LinkRate          float64           // bytes a second that the VM's network link carries; 0 if unknown
}

// Fields describes the settings for a log line.
func (s *Settings) Fields() []zap.Field {
	return []zap.Field{
		zap.String("vm", s.Name), zap.String("zone", s.Zone), zap.String("service", s.Service), zap.Int("seeds", len(s.Seeds)),
		zap.Duration("max_flow_age", s.MaxFlowAge), zap.Duration("grace", s.Grace), zap.Duration("address_rest", s.AddressReuseDelay), zap.Float64("link_bytes_per_second", s.LinkRate),
	}
}

// ChangesNeedingRestart names the settings in which other differs and that count only
// from a process's next start: addresses that sockets are bound to, and what the
// process has told others about itself. Seeds and bounds of time are not among
// them.
func (s *Settings) ChangesNeedingRestart(other *Settings) []string {
	var list []string
	for _, f := range []struct {
		name string
		same bool
	}{
		{"zone", s.Zone == other.Zone},
		{"ip", s.IP == other.IP},
		{"internal ports", s.InternalPort == other.InternalPort},
		{"packet address", s.Packets == other.Packets},
		{"readiness address", s.Readiness == other.Readiness},
		{"control address", s.Control == other.Control},
		{"store", s.Store == other.Store},
		{"address for the server's packets", s.FromServer == other.FromServer},
		{"server", s.Server == other.Server},
		{"service", s.Service == other.Service},
		{"grace", s.Grace == other.Grace},
		{"link", s.LinkRate == other.LinkRate},
	} {
		if !f.same {
			list = append(list, f.name)
		}
	}
	return list
}
