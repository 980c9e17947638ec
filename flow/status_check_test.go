package flow

import (
	"testing"
	"time"
)

// distantHeartbeats is a heartbeat interval of large fleets, longer than DefaultStateTTL.
const distantHeartbeats = 5 * time.Second

// slowServer is an agent's server in a test that sends a heartbeat every distantHeartbeats.
type slowServer struct {
	t        *testing.T
	now      time.Time
	gate     *Gate
	instance string
	sequence uint64
	checked  int // number of status checks
	answer   func() StatusCheckResult
}

func newSlowServer(t *testing.T) *slowServer {
	s := &slowServer{t: t, now: time.Unix(1000, 0), instance: "a"}
	s.gate = NewGate(s.now, GateConfig{Service: listing, HeartbeatInterval: distantHeartbeats}, nil)
	s.answer = func() StatusCheckResult { return StatusCheckResult{Answered: true, Instance: s.instance} }
	return s
}

func (s *slowServer) heartbeat() {
	s.t.Helper()
	s.sequence++
	if !s.gate.Heartbeat(s.now, Heartbeat{Instance: s.instance, Sequence: s.sequence, Service: listing, Slots: 2}) {
		s.t.Fatalf("heartbeat %d was not accepted", s.sequence)
	}
}

// run advances the time, makes the status checks that are due, calls step after every 10 ms
// and returns for how long the state was want.
func (s *slowServer) run(d time.Duration, want ServerState, step func(passed time.Duration)) (inState time.Duration) {
	const tick = 10 * time.Millisecond
	for passed := tick; passed <= d; passed += tick {
		s.now = s.now.Add(tick)
		if step != nil {
			step(passed)
		}
		if !s.now.Before(s.gate.NextStatusCheck(s.now)) {
			s.checked++
			s.gate.StatusCheck(s.now, s.answer())
		}
		s.gate.Tick(s.now)
		s.gate.Effects()
		if s.gate.State(s.now) == want {
			inState += tick
		}
	}
	return inState
}

func (s *slowServer) packet() {
	s.gate.FromServer(s.now, Segment{Key: Key{CallerPort: 1}, HasAck: true, Data: 10}, []byte{1})
}

// Guards against servers without new flows in a fleet whose heartbeats are farther apart than
// the state's TTL: between two heartbeats the state expired.
func TestServerStaysReadyBetweenDistantHeartbeats(t *testing.T) {
	s := newSlowServer(t)
	s.heartbeat()
	const span = 4 * distantHeartbeats
	ready := s.run(span, ServerReady, func(passed time.Duration) {
		if passed%distantHeartbeats == 0 {
			s.heartbeat()
		}
	})
	if ready != span {
		t.Errorf("ready for %v of %v", ready, span)
	}
	if most := int(span/(DefaultStateTTL-statusCheckLead)) + 1; s.checked > most {
		t.Errorf("%d status checks in %v; want at most %d", s.checked, span, most)
	}
}

// Guards against status checks of a server whose packets show that it runs.
func TestPacketsConfirmServer(t *testing.T) {
	s := newSlowServer(t)
	s.heartbeat()
	const span = distantHeartbeats
	ready := s.run(span, ServerReady, func(passed time.Duration) {
		if passed%time.Second == 0 {
			s.packet()
		}
	})
	if ready != span || s.checked > 0 {
		t.Errorf("ready for %v of %v, %d status checks", ready, span, s.checked)
	}
}

// Guards against new flows at a server of another service: the agent's server ended, and a
// packet comes from one that got its address after StateTTL.
func TestPacketAfterExpiryDoesNotConfirmServer(t *testing.T) {
	s := newSlowServer(t)
	s.heartbeat()
	s.answer = func() StatusCheckResult { return StatusCheckResult{} }
	s.run(DefaultStateTTL, ServerReady, nil)
	s.packet()
	if state := s.gate.State(s.now); state != ServerUnknown {
		t.Errorf("state %v after a packet of an unknown server", state)
	}
}

func TestStatusCheckOfKnownServer(t *testing.T) {
	for _, c := range []struct {
		name   string
		answer StatusCheckResult
		state  ServerState // after StateTTL without a heartbeat
		early  ServerState // at the check, before the state expires
	}{
		{"the instance answers", StatusCheckResult{Answered: true, Instance: "a"}, ServerReady, ServerReady},
		{"another instance answers", StatusCheckResult{Answered: true, Instance: "b"}, ServerUnknown, ServerReady},
		{"a server that is not ready answers", StatusCheckResult{Answered: true}, ServerUnknown, ServerReady},
		{"no answer", StatusCheckResult{}, ServerUnknown, ServerReady},
		{"connection refused", StatusCheckResult{Absent: true}, ServerUnknown, ServerUnknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSlowServer(t)
			s.heartbeat()
			s.answer = func() StatusCheckResult { return c.answer }
			s.run(DefaultStateTTL-statusCheckLead, ServerReady, nil)
			if s.checked != 1 {
				t.Fatalf("%d status checks before the state expires", s.checked)
			}
			if state := s.gate.State(s.now); state != c.early {
				t.Errorf("state %v at the check; want %v", state, c.early)
			}
			s.run(statusCheckLead, ServerReady, nil)
			if state := s.gate.State(s.now); state != c.state {
				t.Errorf("state %v after StateTTL; want %v", state, c.state)
			}
		})
	}
}

// Guards against a server that gets no flows for a heartbeat interval after a power loss: its
// first heartbeat was sent before its agent ran.
func TestServerThatStartsAfterItsAgentIsFound(t *testing.T) {
	const startsAfter, limit = 300 * time.Millisecond, time.Second
	s := newSlowServer(t)
	s.answer = func() StatusCheckResult {
		if s.now.Sub(time.Unix(1000, 0)) < startsAfter {
			return StatusCheckResult{Absent: true}
		}
		return StatusCheckResult{Answered: true, Instance: s.instance}
	}
	if s.run(limit, ServerReady, nil) == 0 {
		t.Fatalf("not ready %v after the start, %d status checks", limit, s.checked)
	}
	if !s.gate.complete(s.now) || !s.gate.recentlyStarted(s.now) {
		t.Error("the server started after its agent, which does not report that it has every flow")
	}
}

// Guards against lost flows being recorded of servers that hold them: all agents of a fleet
// with distant heartbeats restart, and servers that have run for 20 s count as recently
// started because they have sent few heartbeats.
func TestRecentStartIsBoundedByTime(t *testing.T) {
	for _, c := range []struct {
		interval time.Duration
		sequence uint64 // the highest that counts as recently started
	}{{300 * time.Millisecond, 4}, {770 * time.Millisecond, 4}, {1200 * time.Millisecond, 3}, {distantHeartbeats, 2}, {0, 4}} {
		cfg := GateConfig{HeartbeatInterval: c.interval}
		cfg.setDefaults()
		if got := cfg.recentlyStartedSequence(); got != c.sequence {
			t.Errorf("interval %v: highest sequence number %d, want %d", c.interval, got, c.sequence)
		}
	}
}
