package idempotency

import "time"

// Defaults of Config.
const (
	DefaultWindow    = 60 * time.Second
	DefaultExpiry    = time.Second
	DefaultSkew      = 10 * time.Second
	DefaultFreshness = 10 * time.Second
	DefaultRetention = 2 * time.Hour
	DefaultResend    = 100 * time.Millisecond
	DefaultDrift     = 0.01
	DefaultVoters    = 5
	DefaultMaxKeys   = 50_000
)

// Config holds the bounds that all processes of a service must share. A zero
// field means its default.
type Config struct {
	Window    time.Duration // a request runs at most once for a key within it; default DefaultWindow
	Expiry    time.Duration // from the request for votes to the first byte; default DefaultExpiry
	Skew      time.Duration // until each requester knows of a change of the voter list; default DefaultSkew
	Freshness time.Duration // a voter list not confirmed for longer isn't used; default DefaultFreshness
	Retention time.Duration // how long a failed process is still counted; default DefaultRetention
	Resend    time.Duration // until the claim is sent again to a voter that didn't answer; default DefaultResend
	Drift     float64       // bound on the relative drift of two clocks; default DefaultDrift
	Voters    int           // voters of a key, at most maxVoters; default DefaultVoters
	MaxKeys   int           // keys that a voter has records of; default DefaultMaxKeys
}

// maxVoters bounds Config.Voters, so that an attempt has a fixed size.
const maxVoters = 16

// withDefaults returns c with its zero fields set to the defaults.
func (c Config) withDefaults() Config {
	setDefault(&c.Window, DefaultWindow)
	setDefault(&c.Expiry, DefaultExpiry)
	setDefault(&c.Skew, DefaultSkew)
	setDefault(&c.Freshness, DefaultFreshness)
	setDefault(&c.Retention, DefaultRetention)
	setDefault(&c.Resend, DefaultResend)
	setDefault(&c.Drift, DefaultDrift)
	setDefault(&c.Voters, DefaultVoters)
	setDefault(&c.MaxKeys, DefaultMaxKeys)
	c.Voters = min(c.Voters, maxVoters)
	return c
}

func setDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

// VoteRetention is how long a voter keeps a vote: the window, plus the time
// by which the run may come after the vote, on clocks that drift apart.
func (c Config) VoteRetention() time.Duration {
	c = c.withDefaults()
	return time.Duration(float64(c.Window+2*c.Expiry) * (1 + 2*c.Drift))
}

// Fence is how long a process that was added to the voter list doesn't vote,
// unless it accepts a handover of the votes of its predecessor.
func (c Config) Fence() time.Duration {
	c = c.withDefaults()
	return c.VoteRetention() + time.Duration(float64(c.Skew+c.Freshness+c.Expiry)*(1+2*c.Drift))
}
