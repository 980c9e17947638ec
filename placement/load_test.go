package placement

import (
	"testing"
	"time"
)

// Guards against collisions in the load table: with a single table slot per
// hash, a third of the agents share a slot and overwrite each other's reports,
// so a balancer keeps choosing a busy agent although an idle one has reported.
func TestLoadKeepsNearlyAllReports(t *testing.T) {
	for _, n := range []int{3, 7, 64, 2000, 94000} {
		agents, l := testAgents(n), NewLoad(n, LoadOptions{})
		for i, a := range agents {
			l.Report(a.Addr, Occupancy(i%200), testStart)
		}
		unknown := 0
		for i, a := range agents {
			o, _, ok := l.Get(a.Addr, testStart)
			if ok && o != Occupancy(i%200) {
				t.Fatalf("%d agents: agent %d at %d, reported %d", n, i, o, i%200)
			}
			if !ok {
				unknown++
			}
		}
		if unknown*100 > n {
			t.Errorf("%d agents: the reports of %d are missing", n, unknown)
		}
	}
}

func TestNinthAgentOfASetReplacesTheOldestReport(t *testing.T) {
	l := NewLoad(1, LoadOptions{})
	value := func(i int) uint64 { return ticks(testStart.Add(time.Duration(i)*time.Second))<<8 | uint64(i) }
	hash := func(i int) uint64 { return uint64(i+1) << 32 }
	for i := range loadWays + 1 {
		l.report(hash(i), value(i))
	}
	for i := range loadWays + 1 {
		found := false
		for way := range uint64(loadWays) {
			found = found || l.slot(hash(i), way).Load()&loadTagMask == hash(i)
		}
		if found != (i > 0) {
			t.Errorf("report %d, in sets of %d: found %v", i, loadWays, found)
		}
	}
}
