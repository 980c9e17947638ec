package exchange

import (
	"math/rand/v2"
	"testing"
	"time"
)

func TestDeliver(t *testing.T) {
	const sent = 10_000
	for _, c := range []struct {
		loss, duplicate float64
		cut             bool
		low, high       int
	}{
		{0, 0, false, sent, sent},
		{0.2, 0, false, 7800, 8200},
		{0, 1, false, 2 * sent, 2 * sent},
		{0.5, 1, false, 9700, 10300},
		{0, 1, true, 0, 0},
	} {
		n := Network[int]{
			Rand: rand.New(rand.NewPCG(1, 1)), Loss: c.loss, Duplicate: c.duplicate,
			Delay: func(from, to int) time.Duration { return time.Duration(10*from + to) },
			Cut:   func(_, _ int) bool { return c.cut },
		}
		got := 0
		for range sent {
			n.Deliver(1, 2, func(d time.Duration) {
				got++
				if d != 12 {
					t.Fatalf("delay %v", d)
				}
			})
		}
		if got < c.low || got > c.high {
			t.Errorf("%+v: %d arrived", c, got)
		}
	}
}
