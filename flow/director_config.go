package flow

import (
	"cmp"
	"time"
)

// DirectorConfig sets up a Director. A zero duration or bound means its default.
type DirectorConfig struct {
	Zone string // availability zone of the balancer
	// Regions names the region of each availability zone.
	Regions map[string]string

	// OpenTimeout is how long an agent may take to answer an offer.
	OpenTimeout time.Duration
	// AgentTimeout is the time without a message after which an agent is
	// offered no new flows.
	AgentTimeout time.Duration
	// AgentExpiry is the time without a message after which an agent is no
	// longer asked for flows. Its own don't count as lost for MaxAge.
	AgentExpiry time.Duration
	// DiscoveryTime is the time from the start until the balancer has heard of all
	// agents that live; before, no flow counts as held by nobody.
	DiscoveryTime time.Duration
	// MaxFlows bounds the flows remembered.
	MaxFlows int
	// MaxOpening bounds the flows that are being offered.
	MaxOpening int
	// MaxAge is the age from which a flow may be discarded.
	MaxAge time.Duration
	// Link is what the VM's network link carries, in bytes a second.
	Link float64
}

// Defaults of DirectorConfig.
const (
	// DefaultOpenTimeout is ten times the longest exchange between zones, and a
	// quarter of the time after which a caller repeats its first packet.
	DefaultOpenTimeout = 50 * time.Millisecond
	// DefaultAgentTimeout is three reports at their least interval.
	DefaultAgentTimeout = silentReports * ReportEvery
	// DefaultAgentExpiry is above the time in which a killed agent is back.
	DefaultAgentExpiry = 6 * time.Second
	// DefaultDiscoveryTime is more than two reports: agents know a balancer that
	// was restarted and go on reporting to it.
	DefaultDiscoveryTime = 600 * time.Millisecond
	// DefaultMaxFlows is four times a balancer's share of the target, in about
	// 10 MB.
	DefaultMaxFlows = 1 << 16
	// DefaultMaxOpening bounds the offers under way, 200 bytes each.
	DefaultMaxOpening = 1 << 12
	// DefaultLink is a link of 1 Gbit/s.
	DefaultLink = 125e6
	// DefaultMaxAge is the age that the platform lets flows reach.
	DefaultMaxAge = time.Minute
)

func (c *DirectorConfig) setDefaults() {
	c.OpenTimeout = cmp.Or(c.OpenTimeout, DefaultOpenTimeout)
	c.AgentTimeout = cmp.Or(c.AgentTimeout, DefaultAgentTimeout)
	c.AgentExpiry = cmp.Or(c.AgentExpiry, DefaultAgentExpiry)
	c.DiscoveryTime = cmp.Or(c.DiscoveryTime, DefaultDiscoveryTime)
	c.MaxFlows = cmp.Or(c.MaxFlows, DefaultMaxFlows)
	c.MaxOpening = cmp.Or(c.MaxOpening, DefaultMaxOpening)
	c.MaxAge = cmp.Or(c.MaxAge, DefaultMaxAge)
	c.Link = cmp.Or(c.Link, DefaultLink)
}

// SetMaxAge changes the age that flows may reach; 0 is the default.
func (d *Director) SetMaxAge(age time.Duration) { d.cfg.MaxAge = cmp.Or(age, DefaultMaxAge) }
