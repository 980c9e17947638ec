package placement

import (
	"sync"
	"testing"

	"go.uber.org/goleak"
)

// Guards against a table being changed in place: a balancer that places packets
// while tables and load reports are replaced would crash or choose an agent of
// another service. Run with -race.
func TestPacketsWhileTablesChange(t *testing.T) {
	defer goleak.VerifyNone(t)
	agents := testAgents(100)
	var tables Tables
	tables.Set(1, testTable(t, agents[:50]))
	tables.Set(2, testTable(t, agents[50:]))
	load := NewLoad(100, LoadOptions{})
	first := pageSize * 3
	var wg sync.WaitGroup
	wg.Go(func() {
		for i := range 200 {
			a := agents[i%50]
			a.Weight = uint8(i)
			next, _ := tables.Get(1).With(Config{}, a)
			tables.Set(1, next)
			tables.Set(uint32(first+i*pageSize), next)
		}
	})
	wg.Go(func() {
		for i := range 2000 {
			load.Report(agents[i%100].Addr, Occupancy(i), testStart)
		}
	})
	service2 := map[string]bool{}
	for _, a := range agents[50:] {
		service2[a.Addr.String()] = true
	}
	for i := range uint64(2000) {
		tables.Get(1).Choose(testID(i), load, testStart)
		c, ok := tables.Get(2).Choose(testID(i), load, testStart)
		if !ok || !service2[c.Primary.String()] || !service2[c.Alternate.Addr.String()] {
			t.Errorf("flow %d of service 2: %+v", i, c)
			break
		}
	}
	wg.Wait()
}
