package admission

import "time"

const (
	// DefaultRetryRatio is the share of retries among offered requests.
	DefaultRetryRatio = 0.1
	// budgetCap bounds the retries saved up in calm times, so that a failure
	// after them doesn't begin with a burst.
	budgetCap = 10
)

// Budget bounds retries: at any moment the attempts so far are at most
// (1 + Ratio) times the requests offered so far. The zero value is ready to
// use. It is not safe for concurrent use.
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
	b.tokens = min(budgetCap, b.tokens+ratio)
}

// Retry reports whether r may be attempted once more, and takes it from the
// budget if so. serviceTime is how long an attempt is expected to take.
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
