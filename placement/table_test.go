package placement

import (
	"encoding/binary"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"testing"

	"pgregory.net/rapid"
)

func testAgents(n int) []Agent {
	agents := make([]Agent, n)
	for i := range agents {
		ip := netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)})
		agents[i] = Agent{
			Addr:   netip.AddrPortFrom(ip, 4000),
			Zone:   fmt.Sprintf("zone-%d", i%3),
			Weight: FullWeight,
		}
	}
	return agents
}

func testTable(t testing.TB, agents []Agent) *Table {
	t.Helper()
	table, err := NewTable(Config{Zone: "zone-0"}, agents)
	if err != nil {
		t.Fatal(err)
	}
	return table
}

func testID(i uint64) []byte {
	return binary.BigEndian.AppendUint64(nil, mix(i))
}

// place returns the address of the primary for each of the given number of
// flows.
func place(table *Table, flows int) []netip.AddrPort {
	placed := make([]netip.AddrPort, flows)
	for i := range placed {
		placed[i] = table.Addr(table.Primary(testID(uint64(i))))
	}
	return placed
}

func TestPrimaryDoesNotDependOnOrderOrHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		agents := testAgents(rapid.IntRange(1, 300).Draw(t, "agents"))
		seed := rapid.Uint64().Draw(t, "seed")
		direct, _ := NewTable(Config{}, agents)
		r := rand.New(rand.NewPCG(seed, 0))
		r.Shuffle(len(agents), func(i, j int) { agents[i], agents[j] = agents[j], agents[i] })
		grown := &Table{}
		for _, a := range agents {
			grown, _ = grown.With(Config{}, a)
		}
		for i := range 50 {
			id := testID(seed + uint64(i))
			if a, b := direct.Addr(direct.Primary(id)), grown.Addr(grown.Primary(id)); a != b {
				t.Fatalf("flow %d: primary %v in the table built at once, %v in the one built step by step", i, a, b)
			}
		}
	})
}

// Guards against a placement that depends on the number or order of agents, by
// which one agent's change moves many more flows than its share. Only flows of
// the changed agent may move, except between rendezvousMaxAgents and
// ringMinAgents, where a flow may also change its placement method.
func TestOneAgentMovesItsShareOnly(t *testing.T) {
	const flows = 20000
	for _, n := range []int{2, 3, 7, 15, 20, 31, 32, 50, 63, 200, 2000} {
		agents := testAgents(n + 1)
		with, without := testTable(t, agents), testTable(t, agents[:n])
		joined := agents[n].Addr
		a, b := place(with, flows), place(without, flows)
		moved, movedBetweenOthers := 0, 0
		for i := range a {
			if a[i] == b[i] {
				continue
			}
			moved++
			if a[i] != joined {
				movedBetweenOthers++
			}
		}
		if share := float64(moved) * float64(n+1) / flows; share > 2.2 {
			t.Errorf("%d agents: %.2f/n of the flows moved", n, share)
		}
		if (n < rendezvousMaxAgents || n >= ringMinAgents) && movedBetweenOthers > 0 {
			t.Errorf("%d agents: %d flows moved between agents that stayed", n, movedBetweenOthers)
		}
	}
}

func countFlows(placed []netip.AddrPort) map[netip.AddrPort]int {
	counts := map[netip.AddrPort]int{}
	for _, a := range placed {
		counts[a]++
	}
	return counts
}

// An agent of weight w receives w/FullWeight of the flows that it receives at
// full weight, corrected for the change of the total weight.
func TestPrimaryFollowsWeights(t *testing.T) {
	const flows = 200000
	for _, n := range []int{4, 15, 60, 300} {
		agents := testAgents(n)
		fullWeight := countFlows(place(testTable(t, agents), flows))
		for _, w := range []uint8{0, 51, 128} {
			agents[1].Weight = w
			got := countFlows(place(testTable(t, agents), flows))[agents[1].Addr]
			sum := float64(n-1) + float64(w)/FullWeight
			want := float64(fullWeight[agents[1].Addr]) * float64(w) / FullWeight * float64(n) / sum
			if math.Abs(float64(got)-want) > 0.1*want+20 {
				t.Errorf("%d agents, weight %d: %d flows, want about %.0f", n, w, got, want)
			}
		}
	}
}

func TestPrimaryIsEven(t *testing.T) {
	for _, n := range []int{3, 7, 16, 40, 64, 500} {
		flows := 4000 * n
		highest := 0
		for _, count := range countFlows(place(testTable(t, testAgents(n)), flows)) {
			highest = max(highest, count)
		}
		if ratio := float64(highest) / 4000; ratio > 1.12 {
			t.Errorf("%d agents: the most frequent primary has %.3f times the mean", n, ratio)
		}
	}
}

func TestNoAgentsAndBadAddress(t *testing.T) {
	var empty Table
	if got := empty.Primary(testID(1)); got != None {
		t.Errorf("primary of an empty table: %d", got)
	}
	_, err := NewTable(Config{}, []Agent{{Addr: netip.MustParseAddrPort("[::1]:1"), Weight: 1}})
	if err == nil {
		t.Error("NewTable accepted an agent with an IPv6 address")
	}
}

func TestWithReplacesAndRemoves(t *testing.T) {
	agents := testAgents(5)
	table := testTable(t, agents)
	agents[2].Weight = 7
	for range 2 {
		table, _ = table.With(Config{Zone: "zone-0"}, agents[2])
	}
	if table.Len() != 5 {
		t.Fatalf("%d agents after a replacement, want 5", table.Len())
	}
	agents[2].Weight = 0
	table, _ = table.With(Config{Zone: "zone-0"}, agents[2])
	if table.Len() != 4 {
		t.Fatalf("%d agents after a removal, want 4", table.Len())
	}
}

func TestTables(t *testing.T) {
	var tables Tables
	for _, service := range []uint32{0, 1, 33000, 1<<32 - 1} {
		if tables.Get(service) != nil {
			t.Errorf("service %d: Get returned a table before Set", service)
		}
		table := new(Table)
		tables.Set(service, table)
		if tables.Get(service) != table {
			t.Errorf("service %d: Get did not return the table that was set", service)
		}
		tables.Set(service, nil)
		if tables.Get(service) != nil {
			t.Errorf("service %d: Get returned a table after removal", service)
		}
	}
}

func BenchmarkPrimary(b *testing.B) {
	for _, n := range []int{3, 7, 32, 100, 1000, 16000, 94000} {
		agents := testAgents(n)
		b.Run(fmt.Sprintf("agents=%d", n), func(b *testing.B) { benchPrimary(b, agents) })
		agents[0].Weight = 25
		b.Run(fmt.Sprintf("agents=%d/weighted", n), func(b *testing.B) { benchPrimary(b, agents) })
	}
}

func benchPrimary(b *testing.B, agents []Agent) {
	table := testTable(b, agents)
	id := testID(1)
	b.ReportAllocs()
	for i := uint64(0); b.Loop(); i++ {
		binary.BigEndian.PutUint64(id, i)
		table.Primary(id)
	}
}
