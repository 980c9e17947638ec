package admission

import "time"

const (
	// DefaultRetryRatio is the share of retries among offered requests.
	DefaultRetryRatio = 0.1
	// maxSavedRetries is the maximum number of unused retries that accumulate,
	// so that a failure after a period without retries doesn't cause a burst.
	maxSavedRetries = 10
)

// Budget limits retries: at any time, the number of attempts so far is at most
// (1 + Ratio) times the number of requests offered so far. The zero value is
// ready to use. It is not safe for concurrent use.
type Budget struct {
	Ratio  float64 // retries per offered request; default DefaultRetryRatio
	tokens float64
}

// Offered records the first attempt of a request.
func (b *Budget) Offered() {
	ratio := b.Ratio
	if ratio == 0 {
		ratio = DefaultRetryRatio
	}
	b.tokens = min(maxSavedRetries, b.tokens+ratio)
}

// Retry reports whether r may be attempted again, and if so deducts the attempt
// from the budget. A request that is not idempotent, or that can't end before
// its deadline, is never retried. serviceTime is the expected duration of an
// attempt.
func (b *Budget) Retry(now time.Time, r Request, serviceTime time.Duration) bool {
	if !r.Idempotent {
		return false
	}
	if !r.Deadline.IsZero() && now.Add(serviceTime).After(r.Deadline) {
		return false
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
