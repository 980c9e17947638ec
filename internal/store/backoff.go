package store

import (
	"math/rand/v2"
	"time"
)

// Backoff spaces the repeats of a failing call. The zero value is not usable;
// set Base and Max.
type Backoff struct {
	Base time.Duration // wait after the first failure
	Max  time.Duration // longest wait
	Rand *rand.Rand    // jitter; the global source if nil

	failures int
}

// Next returns the wait before the next attempt: a random part between half
// and the whole of Base doubled once a failure, at most Max. The jitter keeps
// processes that lost the service together from returning together.
func (b *Backoff) Next() time.Duration {
	d := b.Base
	for i := 0; i < b.failures && d < b.Max; i++ {
		d *= 2
	}
	b.failures++
	half := min(d, b.Max) / 2
	return half + time.Duration(b.randomFloat()*float64(half))
}

// Reset starts again from Base after a success.
func (b *Backoff) Reset() { b.failures = 0 }

func (b *Backoff) randomFloat() float64 {
	if b.Rand == nil {
		return rand.Float64()
	}
	return b.Rand.Float64()
}
