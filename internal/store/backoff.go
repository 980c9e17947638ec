package store

import (
	"math/rand/v2"
	"time"
)

// Backoff computes the waits between retries of a failing call. Base and Max must be set.
type Backoff struct {
	Base time.Duration // wait after the first failure
	Max  time.Duration // longest wait
	Rand *rand.Rand    // source of the jitter; the global source if nil

	failures int
}

// Next returns the wait before the next attempt and counts a failure. The wait doubles from
// Base with each failure up to Max, and is reduced at random by up to half. The jitter keeps
// processes that lost the store at the same time from retrying at the same time.
func (b *Backoff) Next() time.Duration {
	d := b.Base
	for i := 0; i < b.failures && d < b.Max; i++ {
		d *= 2
	}
	b.failures++
	half := min(d, b.Max) / 2
	return half + time.Duration(b.randomFloat()*float64(half))
}

// Reset sets the wait back to Base after a success.
func (b *Backoff) Reset() { b.failures = 0 }

func (b *Backoff) randomFloat() float64 {
	if b.Rand == nil {
		return rand.Float64()
	}
	return b.Rand.Float64()
}
