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
	// Introduce has the agent introduced to other agents before its server takes flows, so
	// that balancers that do not know it learn of it when they look up one of its flows.
	Introduce bool

	// StateTTL is how long the server's state stays valid after it was last confirmed. It
	// has to be shorter than the time after which an address may be reused by another
	// service.
	StateTTL time.Duration
	// HeartbeatInterval is the time between two heartbeats of the server.
	HeartbeatInterval time.Duration
	// AnswerTimeout is how long the server may take to answer a first packet.
	AnswerTimeout time.Duration
	// RequestTimeout is how long a request may count as in progress, unless its route has a
	// longer timeout.
	RequestTimeout time.Duration
	// MaxFlows is the highest number of flows in the table.
	MaxFlows int
	// MaxAge is the age from which a flow may be discarded. A flow without a packet for that
	// time is removed from the table.
	MaxAge time.Duration
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
	// DefaultStateTTL is below the two seconds after which the platform may give an address
	// to another service.
	DefaultStateTTL = 1900 * time.Millisecond
	// DefaultHeartbeatInterval is the interval of a small fleet.
	DefaultHeartbeatInterval = time.Second
	// DefaultAnswerTimeout is a hundred times a server's usual time for it, and below the
	// time that a balancer waits for the agent.
	DefaultAnswerTimeout = 35 * time.Millisecond
	// DefaultRequestTimeout is for requests whose route's timeout is not known.
	DefaultRequestTimeout = 8 * time.Second
	// DefaultGateFlows is twice the number of connections that a server accepts.
	DefaultGateFlows = 4096
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
	c.StateTTL = cmp.Or(c.StateTTL, DefaultStateTTL)
	c.HeartbeatInterval = cmp.Or(c.HeartbeatInterval, DefaultHeartbeatInterval)
	c.AnswerTimeout = cmp.Or(c.AnswerTimeout, DefaultAnswerTimeout)
	c.RequestTimeout = cmp.Or(c.RequestTimeout, DefaultRequestTimeout)
	c.MaxFlows = cmp.Or(c.MaxFlows, DefaultGateFlows)
	c.MaxAge = cmp.Or(c.MaxAge, DefaultMaxAge)
	c.CallerCapacityFactor = cmp.Or(c.CallerCapacityFactor, DefaultCallerCapacityFactor)
	c.CapacityFactor = cmp.Or(c.CapacityFactor, DefaultCapacityFactor)
}

// SetLimits changes MaxAge, StateTTL and HeartbeatInterval of the configuration; 0 means
// the default.
func (g *Gate) SetLimits(now time.Time, maxAge, stateTTL, heartbeatInterval time.Duration) {
	g.setMaxAge(now, cmp.Or(maxAge, DefaultMaxAge))
	g.cfg.StateTTL = cmp.Or(stateTTL, DefaultStateTTL)
	g.cfg.HeartbeatInterval = cmp.Or(heartbeatInterval, DefaultHeartbeatInterval)
}

// recentlyStartedSequence is the highest sequence number of a first received heartbeat
// that counts as one of a recently started server.
func (c *GateConfig) recentlyStartedSequence() uint64 {
	sequence := 1 + uint64(recentlyStartedTime/c.HeartbeatInterval)
	return min(max(sequence, minRecentlyStartedSequence), maxRecentlyStartedSequence)
}
