package flow

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"time"
)

// DirectorConfig configures a Director. A zero duration or bound means its default.
type DirectorConfig struct {
	Zone string // availability zone of the balancer
	// Addr is the address at which other balancers know this one; it may be left out.
	Addr netip.AddrPort
	// Regions maps each availability zone to its region.
	Regions map[string]string

	// OpenTimeout is how long an agent may take to answer an offer.
	OpenTimeout time.Duration
	// AgentTimeout is the time after which an agent that leaves messages unanswered is
	// offered no new flows.
	AgentTimeout time.Duration
	// AgentExpiry is the time after which an agent that leaves messages unanswered is
	// removed and no longer queried for flows. For MaxAge after that, no flow counts as not held by any
	// agent, because the removed agent may still hold it.
	AgentExpiry time.Duration
	// DiscoveryTime is the time from the start until the balancer knows every live agent.
	// Before, no flow counts as not held by any agent.
	DiscoveryTime time.Duration
	// MaxFlows bounds the flows in the table.
	MaxFlows int
	// MaxOpening bounds the flows that are being offered.
	MaxOpening int
	// MaxAge is the age from which a flow may be discarded.
	MaxAge time.Duration
	// Link is the capacity of the VM's network link in bytes per second.
	Link float64
	// Random is the source of random choices; nil means one with a random seed.
	Random *rand.Rand
}

// Defaults of DirectorConfig.
const (
	// DefaultOpenTimeout is ten times the longest round trip between zones, and a
	// quarter of the time after which a caller repeats its first packet.
	DefaultOpenTimeout = 50 * time.Millisecond
	// DefaultAgentTimeout is the time for three hello messages to a suspect.
	DefaultAgentTimeout = 3 * helloRetryInterval
	// DefaultAgentExpiry is above the time in which a killed agent has restarted.
	DefaultAgentExpiry = 6 * time.Second
	// DefaultDiscoveryTime is above the time in which agents that the store does not list
	// are announced to a balancer that has restarted.
	DefaultDiscoveryTime = 600 * time.Millisecond
	// DefaultMaxFlows is four times a balancer's share of the target load. The table
	// takes about 10 MB.
	DefaultMaxFlows = 1 << 16
	// DefaultMaxOpening bounds the offers in progress, 200 bytes each.
	DefaultMaxOpening = 1 << 12
	// DefaultLink is a link of 1 Gbit/s.
	DefaultLink = 125e6
	// DefaultMaxAge is the greatest flow age that the platform allows.
	DefaultMaxAge = time.Minute
)

func (c *DirectorConfig) setDefaults() {
	if c.Random == nil {
		c.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	c.OpenTimeout = cmp.Or(c.OpenTimeout, DefaultOpenTimeout)
	c.AgentTimeout = cmp.Or(c.AgentTimeout, DefaultAgentTimeout)
	c.AgentExpiry = cmp.Or(c.AgentExpiry, DefaultAgentExpiry)
	c.DiscoveryTime = cmp.Or(c.DiscoveryTime, DefaultDiscoveryTime)
	c.MaxFlows = cmp.Or(c.MaxFlows, DefaultMaxFlows)
	c.MaxOpening = cmp.Or(c.MaxOpening, DefaultMaxOpening)
	c.MaxAge = cmp.Or(c.MaxAge, DefaultMaxAge)
	c.Link = cmp.Or(c.Link, DefaultLink)
}

// SetMaxAge sets the greatest age of flows; 0 is the default.
func (d *Director) SetMaxAge(age time.Duration) { d.cfg.MaxAge = cmp.Or(age, DefaultMaxAge) }
