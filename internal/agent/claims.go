package agent

import (
	"context"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/hemlockscale/hemlockscale/idempotency"
	"github.com/hemlockscale/hemlockscale/internal/control"
	"github.com/hemlockscale/hemlockscale/internal/seal"
)

const (
	voterTickInterval = time.Second
	// voterListRequestsPerFreshness is how many requests for the voter list are sent within
	// the time for which a vote counts it as fresh, so that a lost response does no harm.
	voterListRequestsPerFreshness = 3
)

// claims runs the two state machines of package idempotency: the requester for
// this agent's own requests and the voter for the requests of all agents.
type claims struct {
	link *control.Link
	self netip.AddrPort

	mu  sync.Mutex // guards the fields below
	cfg idempotency.Config
	// freshness is cfg.Freshness, or its default if that is 0.
	freshness  time.Duration
	electorate *idempotency.Electorate
	req        *idempotency.Requester
	voter      *idempotency.Voter // nil after stopVoting
	nextID     uint64
	waiting    map[uint64]chan idempotency.Effect
	effects    []idempotency.Effect

	voterListSeq         uint64
	voterListRequestedAt time.Time // when the request with voterListSeq was sent
	tickedAt             time.Time
	listedAt             time.Time // when the voter list first contained this agent
	complete             bool      // the latest voter list is complete
	otherServing         int       // number of other agents of the service that accept new flows
	otherAgents          int       // number of other agents of the service
}

func newClaims(link *control.Link, self netip.AddrPort, cfg idempotency.Config) *claims {
	now := time.Now()
	freshness := cfg.Freshness
	if freshness == 0 {
		freshness = idempotency.DefaultFreshness
	}
	electorate := idempotency.NewElectorate(now, cfg)
	return &claims{
		link:       link,
		self:       self,
		cfg:        cfg,
		freshness:  freshness,
		electorate: electorate,
		req:        idempotency.NewRequester(self, uint64(now.UnixNano()), electorate, cfg, newRand()),
		voter:      idempotency.NewVoter(self, cfg),
		waiting:    make(map[uint64]chan idempotency.Effect),
	}
}

// claim is the right to run a request with an idempotency key once.
type claim struct {
	claims *claims
	id     uint64
}

// finish records the outcome of the request and the response's status. It does nothing
// on a nil claim.
func (c *claim) finish(s idempotency.State, status int) {
	if c == nil {
		return
	}
	c.claims.do(func(now time.Time) { c.claims.req.Finish(now, c.id, s, status) })
}

// begin waits for the right to run a request with the key, or returns the fault to send as
// the response. The request has to be sent at once, since the claim may expire otherwise.
func (c *claims) begin(ctx context.Context, key idempotency.Key) (*claim, *Fault) {
	effects := make(chan idempotency.Effect, 2)
	var id uint64
	c.do(func(now time.Time) {
		c.nextID++
		id = c.nextID
		c.waiting[id] = effects
		c.req.Begin(now, id, key)
	})
	defer c.do(func(time.Time) { delete(c.waiting, id) })
	for {
		select {
		case e := <-effects:
			if e.Kind != idempotency.Run {
				return nil, claimFault(e)
			}
			if c.start(id) {
				return &claim{claims: c, id: id}, nil
			}
		case <-ctx.Done():
			c.do(func(now time.Time) { c.req.Abandon(now, id) })
			return nil, &Fault{Status: http.StatusGatewayTimeout, Outcome: OutcomeUnknown, Reason: "deadline",
				Remedy: "this attempt was not run, an earlier one with the key may have been; send it again with the same key", RetryAfter: time.Second}
		}
	}
}

// start reports whether request id may be sent now; its claim may have expired in the meantime.
func (c *claims) start(id uint64) (ok bool) {
	c.do(func(now time.Time) { ok = c.req.Start(now, id) })
	return ok
}

// do runs f with the lock held and executes the effects that result.
func (c *claims) do(f func(now time.Time)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(time.Now())
	c.runEffects()
}

// runEffects executes the requester's effects until there are none. c.mu is held.
func (c *claims) runEffects() {
	for {
		c.effects = c.req.Effects(c.effects[:0])
		if len(c.effects) == 0 {
			return
		}
		for _, e := range c.effects {
			c.runEffect(e)
		}
	}
}

func (c *claims) runEffect(e idempotency.Effect) {
	now := time.Now()
	switch e.Kind {
	case idempotency.SendClaim:
		if e.To != c.self {
			c.link.Send(seal.TopicClaim, e.To, e.Claim)
		} else if c.voter != nil {
			c.req.Receive(now, c.self, c.voter.Claim(now, e.Claim))
		}
	case idempotency.SendReport:
		if e.To != c.self {
			c.link.Send(seal.TopicReport, e.To, e.Report)
		} else if c.voter != nil {
			c.voter.Report(now, e.Report)
		}
	default:
		if wait := c.waiting[e.ID]; wait != nil {
			wait <- e
		}
	}
}

// receive handles a message of the topics claim, vote, report and voter list. ok
// is false if the message can't be decoded.
func (c *claims) receive(topic seal.Topic, from netip.AddrPort, b []byte) (ok bool) {
	var err error
	c.do(func(now time.Time) {
		switch topic {
		case seal.TopicClaim:
			var m idempotency.Claim
			if err = cbor.Unmarshal(b, &m); err == nil && c.voter != nil {
				c.link.Send(seal.TopicVote, from, c.voter.Claim(now, m))
			}
		case seal.TopicVote:
			var m idempotency.Vote
			if err = cbor.Unmarshal(b, &m); err == nil {
				c.req.Receive(now, from, m)
			}
		case seal.TopicReport:
			var m idempotency.Report
			if err = cbor.Unmarshal(b, &m); err == nil && c.voter != nil {
				c.voter.Report(now, m)
			}
		case seal.TopicVoterList:
			var m control.VoterListResponse
			if err = cbor.Unmarshal(b, &m); err == nil {
				c.receiveVoterList(now, m)
			}
		}
	})
	return err == nil
}

// receiveVoterList handles the response to the latest request and ignores any other. The
// voter list is as old as the request: the response may have waited in the socket buffer
// while this process was suspended.
func (c *claims) receiveVoterList(now time.Time, m control.VoterListResponse) {
	if m.Seq != c.voterListSeq {
		return
	}
	list := idempotency.VoterList{Live: m.Live, Complete: m.Complete}
	for _, g := range m.Departed {
		list.Departed = append(list.Departed, idempotency.DepartedVoter{Addr: g.Addr, Age: time.Duration(g.Age) * time.Second, Left: g.Left})
	}
	c.recordService(now, m)
	c.electorate.Update(now, list)
	c.electorate.Confirm(c.voterListRequestedAt)
	if c.voter != nil {
		c.voter.Update(now, list)
		c.voter.Confirm(c.voterListRequestedAt)
	}
}

// recordService records what a voter list shows about the other agents of the service. It
// ignores a list that does not contain this agent. c.mu is held.
func (c *claims) recordService(now time.Time, m control.VoterListResponse) {
	if !slices.Contains(m.Live, c.self) {
		return
	}
	if c.listedAt.IsZero() {
		c.listedAt = now
	}
	c.complete = m.Complete
	c.otherAgents = len(m.Live) - 1
	c.otherServing = int(m.Serving)
}

// tick requests the voter list from a balancer when that is due, and advances the state
// machines.
func (c *claims) tick(balancer netip.AddrPort, service uint32) {
	c.do(func(now time.Time) {
		if now.Sub(c.voterListRequestedAt) >= c.freshness/voterListRequestsPerFreshness && balancer.IsValid() {
			c.voterListSeq++
			c.voterListRequestedAt = now
			c.link.Send(seal.TopicVoterListRequest, balancer, control.VoterListRequest{Service: service, Seq: c.voterListSeq})
		}
		if c.voter != nil && now.Sub(c.tickedAt) >= voterTickInterval {
			c.tickedAt = now
			c.voter.Tick(now)
		}
		c.req.Tick(now)
	})
}

// fenced reports whether this agent's start fence is still in force, during which other
// agents do not rely on its votes. c.mu is held.
func (c *claims) fenced(now time.Time) bool {
	return c.listedAt.IsZero() || now.Sub(c.listedAt) <= c.cfg.Fence()
}

// acceptsFlows reports whether the agent may accept new flows: either requests with keys can
// run here, or the service has recently started and no other agent can serve them better. An
// agent that is added to a running service must not attract flows whose requests it would
// have to refuse.
func (c *claims) acceptsFlows() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.listedAt.IsZero() {
		return false
	}
	serviceRunning := c.otherAgents > 0 && 2*c.otherServing >= c.otherAgents
	return c.complete || !serviceRunning || !c.fenced(time.Now())
}

// ready reports whether requests with keys can run at this agent.
func (c *claims) ready() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.voter != nil && !c.fenced(time.Now())
}

// stopVoting ends this agent's votes. It has to be called before the agent announces that it
// leaves, since other agents stop counting the agent as soon as they are notified.
func (c *claims) stopVoting() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.voter = nil
}

// Further values of HeaderOutcome for requests with an idempotency key.
const (
	OutcomeRan     = "ran"     // an earlier attempt with the key ran and got a response
	OutcomeRunning = "running" // an earlier attempt with the key is running
)

// HeaderFirstStatus is the status of the response to the earlier attempt.
const HeaderFirstStatus = "Hemlock-First-Status"

// claimFault returns the response to a request that is not allowed to run.
func claimFault(e idempotency.Effect) *Fault {
	f := &Fault{Status: http.StatusConflict, RetryAfter: e.RetryAfter}
	switch {
	case e.Kind == idempotency.NotRun:
		f.Status, f.Outcome, f.Reason = http.StatusServiceUnavailable, OutcomeNotRun, "no_votes"
		f.Remedy = "no attempt with this key was run; send it again with the same key"
	case e.Kind == idempotency.Unknown:
		f.Status, f.Outcome, f.Reason = http.StatusServiceUnavailable, OutcomeUnknown, "no_votes"
		f.Remedy = "this attempt was not run, an earlier one with the key may have been; send it again with the same key"
	case e.State == idempotency.Done:
		f.Outcome, f.Reason, f.FirstStatus = OutcomeRan, "duplicate", e.Status
		f.Remedy = "the request ran and was answered; read its result instead of sending it again"
	case e.State == idempotency.Running || e.State == idempotency.Claimed:
		f.Outcome, f.Reason = OutcomeRunning, "duplicate"
		f.Remedy = "an attempt with this key is under way; send it again with the same key to learn what became of it"
		f.RetryAfter = max(f.RetryAfter, time.Second)
	default:
		f.Outcome, f.Reason = OutcomeUnknown, "duplicate"
		f.Remedy = "an attempt with this key was sent to the backend server and its answer was lost; ask the service whether it ran"
	}
	return f
}
