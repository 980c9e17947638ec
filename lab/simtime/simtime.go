// Package simtime runs events in simulated time on one goroutine, in the same order in
// every run. Models and simulated networks are built on it.
package simtime

import (
	"container/heap"
	"time"
)

// Epoch is the simulated time of a new clock.
var Epoch = time.Unix(1_700_000_000, 0)

// Clock holds the simulated time and the pending events. It isn't safe for concurrent
// use.
type Clock struct {
	now    time.Time
	events events
	seq    uint64
}

// New returns a clock at Epoch without events.
func New() *Clock { return &Clock{now: Epoch} }

// Now returns the simulated time.
func (c *Clock) Now() time.Time { return c.now }

// Elapsed returns the simulated time since Epoch.
func (c *Clock) Elapsed() time.Duration { return c.now.Sub(Epoch) }

// After schedules fn to run after d. Events with the same time run in the order in which
// they were scheduled.
func (c *Clock) After(d time.Duration, fn func()) {
	c.seq++
	heap.Push(&c.events, event{c.now.Add(d), c.seq, fn})
}

// Run runs the events of the next d and advances the clock by d. If done isn't nil, it
// stops early after the first event after which done returns true. It reports whether
// done returned true.
func (c *Clock) Run(d time.Duration, done func() bool) bool {
	end := c.now.Add(d)
	for len(c.events) > 0 && !c.events[0].at.After(end) {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.fn()
		if done != nil && done() {
			return true
		}
	}
	c.now = end
	return false
}

type event struct {
	at  time.Time
	seq uint64
	fn  func()
}

// events is a heap ordered by time. Events with the same time are ordered by seq;
// otherwise their order would depend on the shape of the heap and so on other events.
type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].seq < e[j].seq
	}
	return e[i].at.Before(e[j].at)
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *events) Push(x any) { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return x
}
