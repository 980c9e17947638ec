package node

import (
	"net/netip"
	"time"

	"go.uber.org/zap"
)

// Settings are the settings that the platform gives to a process.
type Settings struct {
	Name         string // name of the VM
	Zone         string
	IP           netip.Addr
	InternalPort uint16 // balancers' port for messages between processes (UDP) and for the orders (TCP), the same on all VMs

	Packets   netip.AddrPort // UDP: receives callers' packets (balancers) or balancers' messages (agents)
	Readiness netip.AddrPort // TCP: readiness checks of the routers
	Control   netip.AddrPort // TCP: receives the backend server's heartbeats
	Store     netip.AddrPort // TCP: the key-value store

	FromServer netip.AddrPort // agents, UDP: receives the backend server's packets
	Server     netip.AddrPort // agents, UDP: address on which the backend server receives packets
	Service    string         // agents: the backend server's service

	Zones             map[string]string // region of each availability zone; empty if the platform gives none
	Seeds             []netip.Addr      // addresses of some balancers' VMs; may be out of date
	MaxFlowAge        time.Duration     // age from which a flow may be discarded
	Grace             time.Duration     // time from SIGTERM to SIGKILL
	HeartbeatInterval time.Duration     // agents: time between two heartbeats of the backend server; 0 if unknown
	AddressReuseDelay time.Duration     // minimum time before a server's address is given to another service
	LinkRate          float64           // bytes per second of the VM's network link; 0 if unknown
}

// Fields returns the settings as log fields.
func (s *Settings) Fields() []zap.Field {
	return []zap.Field{
		zap.String("vm", s.Name), zap.String("zone", s.Zone), zap.String("service", s.Service), zap.Int("seeds", len(s.Seeds)),
		zap.Duration("max_flow_age", s.MaxFlowAge), zap.Duration("grace", s.Grace), zap.Duration("heartbeat_interval", s.HeartbeatInterval), zap.Duration("address_reuse_delay", s.AddressReuseDelay), zap.Float64("link_bytes_per_second", s.LinkRate),
	}
}

// ChangesNeedingRestart returns the names of the settings that differ in other and take
// effect only when the process restarts: addresses that sockets are bound to, and what the
// process has announced about itself. Seeds, MaxFlowAge, HeartbeatInterval and
// AddressReuseDelay apply at once.
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
