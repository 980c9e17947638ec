package platform

import (
	"math/rand/v2"
	"net/netip"
)

// FailureMode is what a failing server does to a request.
type FailureMode int

// The modes.
const (
	NoFailure FailureMode = iota
	FailReset             // resets the flow
	FailClose             // closes the flow without data
	FailHang              // does not answer
	FailFast              // answers at once
)

// Failure is a failure of a server whose heartbeats and status checks are good.
type Failure struct {
	Mode  FailureMode
	Share float64 // of the requests
}

// SetFailure makes requests that arrive from now on fail. The zero Failure ends the failure.
func (s *Server) SetFailure(f Failure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failure = f
}

// fail applies the failure in progress to a request. It returns false if the request is not
// affected.
func (s *Server) fail(caller netip.AddrPort, f *serverFlow, id string, size int) bool {
	if rand.Float64() >= s.failure.Share {
		return false
	}
	switch s.failure.Mode {
	case FailReset, FailClose:
		s.endFlow(caller, f, s.failure.Mode)
	case FailHang:
	case FailFast:
		s.sendAnswer(caller, f, id, size)
	default:
		return false
	}
	return true
}

// endFlow resets or closes a flow.
func (s *Server) endFlow(caller netip.AddrPort, f *serverFlow, mode FailureMode) {
	f.ended, f.failure = true, mode
	flags := byte(FlagRst)
	if mode == FailClose {
		flags = FlagFin | FlagAck
	}
	s.send(Header{Src: f.service, Dst: caller, Seq: f.next, Ack: f.expected, Flags: flags})
}
