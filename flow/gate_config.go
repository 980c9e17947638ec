package flow

import (
	"cmp"
	"net/netip"
	"time"
)

// GateConfig sets up a Gate. A zero duration or bound means its default.
type GateConfig struct {
	Zone        string
	Incarnation uint64 // drawn at random at the start of the process
	// Service is the service that the server belongs to by the settings. A
	// heartbeat that names another one goes before it.
	Service ServiceID
	// Server is where the server takes packets. A heartbeat that names another
	// address is of another server. The zero value lets all pass.
	Server netip.AddrPort

	// HeartbeatTTL is how long a heartbeat vouches for the server. It has to be
	// shorter than the time after which an address is used again by another
	// service.
	HeartbeatTTL time.Duration
	// AnswerTimeout is how long the server may take to answer a first packet.
	AnswerTimeout time.Duration
	// RequestTimeout is how long a request may count as being worked on.
	RequestTimeout time.Duration
	// MaxFlows bounds the flows remembered.
	MaxFlows int
	// MaxAge is the age from which a flow may be discarded.
	MaxAge time.Duration
	// IdleTimeout is the time without a packet after which a flow is forgotten.
	IdleTimeout time.Duration
	// CapacityFactor bounds the requests at work, as a multiple of the server's
	// slots; 0 is DefaultQueueFactor.
	CapacityFactor float64
	// CallerCapacityFactor bounds the requests at work, and callers told to come back, up
	// to which another caller of an ended flow is told, as a multiple of the
	// server's slots; 0 is DefaultReturnFactor.
	CallerCapacityFactor float64
}

// Defaults of GateConfig.
const (
	// DefaultHeartbeatTTL is below the two seconds after which the platform gives an
	// address to another service, and above one heartbeat.
	DefaultHeartbeatTTL = 1900 * time.Millisecond
	// DefaultAnswerTimeout is a hundred times what a server takes, and below
	// the time that a balancer waits for the agent.
	DefaultAnswerTimeout = 35 * time.Millisecond
	// DefaultRequestTimeout is above the longest deadline of a request.
	DefaultRequestTimeout = 8 * time.Second
	// DefaultGateFlows is twice the connections that a server takes.
	DefaultGateFlows = 4096
	// DefaultIdleTimeout is above the time after which a flow may be discarded.
	DefaultIdleTimeout = 20 * time.Second
	// DefaultCapacityFactor keeps a server's slots busy while callers answer a
	// handshake; what more there is waits at the agent, which knows what is late.
	DefaultCapacityFactor = 1.6
	// DefaultCallerCapacityFactor is the same for callers that come back as for flows that
	// come: with less room for them, new flows took each slot before they were told.
	DefaultCallerCapacityFactor = DefaultCapacityFactor
	// DefaultSlots is assumed until a heartbeat tells.
	DefaultSlots = 5
)

func (c *GateConfig) setDefaults() {
	c.HeartbeatTTL = cmp.Or(c.HeartbeatTTL, DefaultHeartbeatTTL)
	c.AnswerTimeout = cmp.Or(c.AnswerTimeout, DefaultAnswerTimeout)
	c.RequestTimeout = cmp.Or(c.RequestTimeout, DefaultRequestTimeout)
	c.MaxFlows = cmp.Or(c.MaxFlows, DefaultGateFlows)
	c.MaxAge = cmp.Or(c.MaxAge, DefaultMaxAge)
	c.IdleTimeout = cmp.Or(c.IdleTimeout, DefaultIdleTimeout)
	c.CallerCapacityFactor = cmp.Or(c.CallerCapacityFactor, DefaultCallerCapacityFactor)
	c.CapacityFactor = cmp.Or(c.CapacityFactor, DefaultCapacityFactor)
}

// SetLimits changes the age that flows may reach and how long a heartbeat
// vouches for the server; 0 is the default.
func (g *Gate) SetLimits(maxAge, fresh time.Duration) {
	g.cfg.MaxAge = cmp.Or(maxAge, DefaultMaxAge)
	g.cfg.HeartbeatTTL = cmp.Or(fresh, DefaultHeartbeatTTL)
}
