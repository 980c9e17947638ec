package perf

import (
	"encoding/binary"
	"net/netip"
	"os"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/hemlockscale/hemlockscale/catalogue"
	"github.com/hemlockscale/hemlockscale/membership"
	"github.com/hemlockscale/hemlockscale/placement"
)

const (
	targetBalancers = 11_000
	targetAgents    = 94_000
	targetEntries   = 33_000
	targetZones     = 18
)

// control is the control state of a balancer.
type control struct {
	machine *membership.Machine
	replica *catalogue.Replica
	table   *catalogue.Table
	tables  placement.Tables
	load    *placement.Load
}

func addr4(first byte, n int) netip.Addr {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], uint32(first)<<24|uint32(n+1))
	return netip.AddrFrom4(b)
}

func zoneOf(n int) string { return "zone-" + strconv.Itoa(n%targetZones) }

// record returns the n-th record of the member list at the target size: first the balancers,
// then the agents.
func record(n int) membership.Record {
	r := membership.Record{
		Addr: netip.AddrPortFrom(addr4(10, n), 7700), State: membership.StateReady, Weight: placement.FullWeight,
		Incarnation: uint64(n + 1), Version: 1, Zone: zoneOf(n), Region: "region-" + strconv.Itoa(n%6),
	}
	if n < targetBalancers {
		r.Role = membership.RoleBalancer
		return r
	}
	r.Role = membership.RoleAgent
	r.Service = uint32(n%targetEntries) + 1
	return r
}

func entries() []catalogue.Entry {
	list := make([]catalogue.Entry, targetEntries)
	for i := range list {
		list[i] = catalogue.Entry{
			Service: "service-" + strconv.Itoa(i), Owner: "owner-" + strconv.Itoa(i%300), Class: catalogue.ClassInteractive,
			Addresses: []netip.Addr{addr4(11, i)}, Number: uint32(i) + 1, Version: 1,
		}
	}
	return list
}

func buildControl(b *testing.B) *control {
	now := time.Unix(1_000_000, 0)
	self := record(0)
	self.State = membership.StateStarting
	machine, err := membership.NewMachine(membership.Config{Self: self})
	if err != nil {
		b.Fatal(err)
	}
	all := make([]membership.Record, 0, targetBalancers+targetAgents)
	for n := range targetBalancers + targetAgents {
		all = append(all, record(n))
	}
	machine.MergeAll(now, all)
	machine.Changes()
	c := &control{machine: machine, replica: catalogue.NewReplica(catalogue.ReplicaConfig{Peers: func(int) []netip.AddrPort { return nil }}), load: placement.NewLoad(4096, placement.LoadOptions{})}
	s := catalogue.Snapshot{Digest: catalogue.Digest{Revision: targetEntries, Checksum: 1}, Next: targetEntries + 1, Entries: entries()}
	if err := c.replica.ReceiveBulk(now, netip.AddrPort{}, catalogue.Bulk{Snapshot: &s, Confirmed: true}); err != nil {
		b.Fatal(err)
	}
	c.table = c.replica.Table()
	agents := make(map[uint32][]placement.Agent)
	for _, r := range all[targetBalancers:] {
		agents[r.Service] = append(agents[r.Service], placement.Agent{Addr: r.Addr, Zone: r.Zone, Weight: r.Weight})
	}
	for service, list := range agents {
		t, err := placement.NewTable(placement.Config{}, list)
		if err != nil {
			b.Fatal(err)
		}
		c.tables.Set(service, t)
	}
	return c
}

// replaceTables rebuilds the address table as often as edits do in ten minutes at the target rate,
// which produces garbage for the collector.
func (c *control) replaceTables() {
	const edits = 220
	for range edits {
		c.table = c.replica.Catalogue().Table()
	}
}

// residentBytes returns the resident memory of this process.
func residentBytes(b *testing.B) float64 {
	raw, err := os.ReadFile("/proc/self/status")
	if err != nil {
		b.Fatal(err)
	}
	for line := range strings.Lines(string(raw)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return kb * 1024
		}
	}
	b.Fatal("no VmRSS")
	return 0
}

// BenchmarkFootprint reports the memory of a balancer's control state at the
// target size, all parts in one process, without and with a memory limit. Run
// it alone: -run xxx -bench Footprint -benchtime 1x.
func BenchmarkFootprint(b *testing.B) {
	for _, c := range []struct {
		name  string
		limit int64
	}{{"no limit", 1 << 40}, {"limit 56 MiB", 56 << 20}, {"limit 44 MiB", 44 << 20}} {
		b.Run(c.name, func(b *testing.B) {
			state := buildControl(b)
			defer debug.SetMemoryLimit(debug.SetMemoryLimit(c.limit))
			debug.FreeOSMemory()
			for b.Loop() {
				state.replaceTables()
			}
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			b.ReportMetric(residentBytes(b)/(1<<20), "MiB-resident")
			b.ReportMetric(float64(m.HeapAlloc)/(1<<20), "MiB-heap")
			runtime.GC()
			runtime.ReadMemStats(&m)
			b.ReportMetric(float64(m.HeapAlloc)/(1<<20), "MiB-live")
			runtime.KeepAlive(state)
		})
	}
}
