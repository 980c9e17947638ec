package flow

import (
	"cmp"
	"net/netip"
	"time"
)

// GateConfig configures a Gate. A zero duration or bound means its default.
type GateConfig struct {
	Zone        string
	Incarnation uint64 // random number drawn at the start of the process
	// Service is the server's service according to the settings. The service named in a
	// heartbeat takes precedence.
	Service ServiceID
	// Server is the address at which the server receives packets. Heartbeats that name
	// another address are rejected; with the zero value all addresses are accepted.
	Server netip.AddrPort

	// HeartbeatTTL is how long the state given by a heartbeat stays valid. It has to be
	// shorter than the time after which an address may be reused by another service.
	HeartbeatTTL time.Duration
	// AnswerTimeout is how long the server may take to answer a first packet.
	AnswerTimeout time.Duration
	// RequestTimeout is how long a request may count as in progress.
	RequestTimeout time.Duration
	// MaxFlows is the highest number of flows in the table.
	MaxFlows int
	// MaxAge is the age from which a flow may be discarded.
	MaxAge time.Duration
	// IdleTimeout is the time without a packet after which a flow is removed from the
	// table.
	IdleTimeout time.Duration
	// CapacityFactor limits the requests in progress, as a multiple of the server's slots;
	// 0 means DefaultCapacityFactor.
	CapacityFactor float64
	// CallerCapacityFactor limits the sum of requests in progress and reservations below
	// which another caller is notified that its flow ended, as a multiple of the server's
	// slots; 0 means DefaultCallerCapacityFactor.
	CallerCapacityFactor float64
}

// Defaults of GateConfig.
const (
	// DefaultHeartbeatTTL is below the two seconds after which the platform may give an
	// address to another service, and above the heartbeat interval.
	DefaultHeartbeatTTL = 1900 * time.Millisecond
	// DefaultAnswerTimeout is a hundred times a server's usual time for it, and below the
	// time that a balancer waits for the agent.
	DefaultAnswerTimeout = 35 * time.Millisecond
	// DefaultRequestTimeout is above the longest deadline of a request.
	DefaultRequestTimeout = 8 * time.Second
	// DefaultGateFlows is twice the number of connections that a server accepts.
	DefaultGateFlows = 4096
	// DefaultIdleTimeout is above the idle time after which a flow may be discarded.
	DefaultIdleTimeout = 20 * time.Second
	// DefaultCapacityFactor is above 1 to keep the server's slots busy while callers
	// complete the handshake. Further flows wait at the agent, which serves those that can
	// still be answered in time first.
	DefaultCapacityFactor = 1.6
	// DefaultCallerCapacityFactor equals DefaultCapacityFactor: with less capacity for
	// callers that wait to be notified, new flows would take every slot before them.
	DefaultCallerCapacityFactor = DefaultCapacityFactor
	// DefaultSlots is the number of slots assumed until a heartbeat gives it.
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

// SetLimits changes MaxAge and HeartbeatTTL of the configuration; 0 means the default.
func (g *Gate) SetLimits(maxAge, heartbeatTTL time.Duration) {
	g.cfg.MaxAge = cmp.Or(maxAge, DefaultMaxAge)
	g.cfg.HeartbeatTTL = cmp.Or(heartbeatTTL, DefaultHeartbeatTTL)
}
