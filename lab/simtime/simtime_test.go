package simtime

import (
	"slices"
	"testing"
	"time"
)

func TestEventsRunByTimeThenInOrder(t *testing.T) {
	c := New()
	var got []int
	record := func(i int) func() { return func() { got = append(got, i) } }
	c.After(2*time.Second, record(3))
	c.After(time.Second, record(1))
	c.After(time.Second, record(2))
	c.After(time.Minute, record(4))
	if c.Run(10*time.Second, nil) || c.Elapsed() != 10*time.Second {
		t.Errorf("clock at %v", c.Elapsed())
	}
	if !slices.Equal(got, []int{1, 2, 3}) {
		t.Errorf("ran %v", got)
	}
}

func TestRunStopsWhenDone(t *testing.T) {
	c := New()
	n := 0
	var tick func()
	tick = func() {
		n++
		c.After(time.Second, tick)
	}
	c.After(0, tick)
	if !c.Run(time.Minute, func() bool { return n == 3 }) || c.Elapsed() != 2*time.Second {
		t.Errorf("%d events, clock at %v", n, c.Elapsed())
	}
}
