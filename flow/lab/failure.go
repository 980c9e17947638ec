package lab

import "github.com/hemlockscale/hemlockscale/flow"

// Failure is the way in which a server fails. Its heartbeats continue.
type Failure string

// The failures.
const (
	FailReset   Failure = "reset"   // a reset for each request
	FailClose   Failure = "close"   // the flow is closed without data
	FailHang    Failure = "hang"    // no answer
	FailMute    Failure = "mute"    // no packet at all
	FailAbort   Failure = "abort"   // a reset after part of the answer
	FailFast    Failure = "fast"    // an answer that is an error, at once
	FailPartial Failure = "partial" // a reset for some of the requests
)

// Failures are all failures.
var Failures = []Failure{FailReset, FailClose, FailHang, FailMute, FailAbort, FailFast, FailPartial}

// partialShare is the share of requests that are reset in FailPartial.
const partialShare = 0.4

// fails reports whether the server fails the next request.
func (v *server) fails() bool {
	return v.failure != "" && (v.failure != FailPartial || v.f.rng.Float64() < partialShare)
}

// failRequest does to a request what the server's failure is.
func (v *server) failRequest(s flow.Segment) {
	x := v.flows[s.Key]
	a := flow.Segment{Key: s.Key, Seq: x.sent, Ack: s.Seq + uint32(s.Data), HasAck: true}
	switch v.failure {
	case FailHang:
		return
	case FailFast:
		a.Data = errorSize
		x.sent += errorSize
		v.send(a)
		return
	case FailClose:
		a.Fin = true
	case FailAbort:
		part := a
		part.Data = partSize
		v.send(part)
		a.Seq += partSize
		a.Rst = true
	default:
		a.Rst = true
	}
	v.send(a)
	delete(v.flows, s.Key)
}
