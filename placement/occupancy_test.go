package placement

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func drawUsage(t *rapid.T) Usage {
	return Usage{
		SlotsBusy: rapid.IntRange(0, 5).Draw(t, "busy"), Slots: 5,
		Queue:          rapid.IntRange(0, 50).Draw(t, "queue"),
		Connections:    rapid.IntRange(0, 1999).Draw(t, "connections"),
		MaxConnections: 2000,
	}
}

func TestOccupancyRisesWithUsage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		u := drawUsage(t)
		more := u
		more.Queue++
		more.Connections += rapid.IntRange(0, 1999-u.Connections).Draw(t, "more")
		if u.Occupancy() > more.Occupancy() || more.Occupancy() == Full {
			t.Errorf("%+v: %d, %+v: %d", u, u.Occupancy(), more, more.Occupancy())
		}
	})
}

func TestFullOccupancy(t *testing.T) {
	for name, u := range map[string]Usage{
		"draining":         {Slots: 5, MaxConnections: 2000, Draining: true},
		"no connections":   {Slots: 5, Connections: 2000, MaxConnections: 2000},
		"nothing declared": {},
	} {
		var m Meter
		if u.Occupancy() != Full || m.Occupancy(testStart, u) != Full {
			t.Errorf("%s: %d", name, u.Occupancy())
		}
	}
}

func TestMeterLiesBetweenPastAndPresent(t *testing.T) {
	busy := Usage{SlotsBusy: 5, Slots: 5, Queue: 5, MaxConnections: 2000}
	idle := Usage{Slots: 5, MaxConnections: 2000}
	var m Meter
	m.Occupancy(testStart, busy)
	pause := m.Occupancy(testStart.Add(time.Minute), idle)
	later := m.Occupancy(testStart.Add(2*time.Minute), idle)
	if pause <= idle.Occupancy() || pause >= busy.Occupancy() || later != idle.Occupancy() {
		t.Errorf("in a pause %d, later %d, idle %d, busy %d", pause, later, idle.Occupancy(), busy.Occupancy())
	}
}

// Symptom: most requests of a service fail although one backend server of seven
// is broken. Sequence: its requests fail at once, its slots are always free,
// every balancer names it and every primary hands on to it. Cause: a load that
// counts work and not outcomes.
func TestFailingAgentLooksBusyUntilForgotten(t *testing.T) {
	idle := Usage{Slots: 5, MaxConnections: 2000}
	var m Meter
	for range 100 {
		m.Done(testStart, true)
	}
	failing := m.Occupancy(testStart, idle)
	if full := (Usage{SlotsBusy: 5, Slots: 5, MaxConnections: 2000}).Occupancy(); failing <= full || failing == Full {
		t.Errorf("failing %d, all slots busy %d", failing, full)
	}
	if later := m.Occupancy(testStart.Add(time.Minute), idle); later > 1 {
		t.Errorf("a minute later: %d", later)
	}
}
