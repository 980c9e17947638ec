package agent

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/hemlockscale/hemlockscale/admission"
	"github.com/hemlockscale/hemlockscale/catalogue"
	"github.com/hemlockscale/hemlockscale/idempotency"
)

// HTTP headers between callers, agents and backend servers.
const (
	// HeaderTimeout is how long the caller waits for the response header, in
	// milliseconds. The agent forwards the remaining time to the backend server.
	HeaderTimeout = "Request-Timeout-Ms"
	// HeaderOutcome is what is known about a request that got no response from
	// the backend server: OutcomeNotRun, OutcomeUnknown, OutcomeRan or OutcomeRunning.
	HeaderOutcome = "Hemlock-Outcome"
	// HeaderReason is the reason of a refusal, one word.
	HeaderReason = "Hemlock-Reason"
	// HeaderKey identifies a non-idempotent request across its retries.
	HeaderKey = "Idempotency-Key"
)

// Values of HeaderOutcome.
const (
	OutcomeNotRun  = "not-run" // no byte of the request reached the backend server
	OutcomeUnknown = "unknown" // the request may have run; check before sending it again
)

// handler serves the requests of a service's callers.
type handler struct {
	entry   *atomic.Pointer[catalogue.Entry]
	gate    *gate
	backend *backend
	claims  *claims
	metrics *metrics
}

// Fault is the agent's response to a request that got no response from the backend
// server. Its JSON form is the response body.
type Fault struct {
	Status     int           `json:"status"`
	Outcome    string        `json:"outcome"`
	Reason     string        `json:"reason"`
	Remedy     string        `json:"remedy"`
	RetryAfter time.Duration `json:"-"`
	// FirstStatus is the status of the response to an earlier attempt; 0 if there is none.
	FirstStatus int `json:"first_status,omitempty"`
}

func (f *Fault) Error() string { return f.Reason + " (" + f.Outcome + "): " + f.Remedy }

// ServeHTTP handles one request.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	entry := h.entry.Load()
	ctx, header := withHeaderDeadline(r, entry)
	defer header.stop()
	request := admissionRequest(r, entry, header.deadline)
	permit, err := h.gate.enter(ctx, request, newServerRequest(r, entry))
	if err != nil {
		h.refuse(w, refusalFault(err))
		return
	}
	defer permit.done(admission.Result{Outcome: admission.Failed})
	claim, fault := h.claim(ctx, r, entry)
	if fault != nil {
		permit.done(admission.Result{Outcome: admission.Canceled})
		h.refuse(w, fault)
		return
	}
	resp, result, err := h.call(ctx, r, request, permit)
	if err != nil {
		failed := asCallError(err)
		claim.finish(stateOfFailure(failed), 0)
		permit.done(admission.Result{Outcome: result.outcome})
		h.refuse(w, callFault(ctx, r, failed))
		return
	}
	defer resp.Body.Close()
	header.stop()
	claim.finish(stateOfResponse(resp), resp.StatusCode)
	permit.headerReceived()
	if err := h.writeResponse(w, resp); err != nil {
		h.abortResponse(ctx, permit, err)
	}
	h.metrics.requests.WithLabelValues("answered").Inc()
	permit.done(admissionResult(resp))
}

// abortResponse ends a request whose response the caller has got only in part. The caller's
// stream is reset. If it were closed normally, a response without a length would appear
// complete.
func (h *handler) abortResponse(ctx context.Context, p *permit, err error) {
	var write *callerWriteError
	// The context of the call to the server ends when the caller leaves, and with it the
	// server's response.
	if errors.As(err, &write) || ctx.Err() != nil {
		h.metrics.requests.WithLabelValues("canceled").Inc()
		p.done(admission.Result{Outcome: admission.Canceled})
	} else {
		h.metrics.requests.WithLabelValues("cut").Inc()
		p.truncated()
		p.done(admission.Result{Outcome: admission.Failed})
	}
	panic(http.ErrAbortHandler)
}

// call sends a request to the backend server. A safe request that got no response, for
// example because its connection was closed, is sent once more if the retry budget
// allows. Without a budget, a failing backend server would receive twice its load.
func (h *handler) call(ctx context.Context, r *http.Request, request admission.Request, p *permit) (*http.Response, attemptResult, error) {
	h.gate.countAttempt()
	resp, result, err := h.attempt(ctx, r, request, p)
	if err == nil || ctx.Err() != nil || !safeMethod(r.Method) || r.ContentLength > 0 {
		return resp, result, err
	}
	if !h.gate.allowRetry(request) {
		return nil, result, err
	}
	h.metrics.retries.Inc()
	return h.attempt(ctx, r, request, p)
}

// attempt sends a request to the backend server once and records the outcome.
func (h *handler) attempt(ctx context.Context, r *http.Request, request admission.Request, p *permit) (*http.Response, attemptResult, error) {
	p.attemptStarted()
	resp, err := h.backend.do(ctx, r, backendHeader(r, request.Deadline))
	result := p.attemptEnded(func(took, mean time.Duration) attemptResult {
		if err != nil {
			return errorResult(ctx, r, asCallError(err), request.Class, took, mean)
		}
		return answerResult(resp)
	})
	return resp, result, err
}

// claim requests the right to run a non-idempotent request with a key. A non-idempotent
// request without a key needs none, since it is never sent twice.
func (h *handler) claim(ctx context.Context, r *http.Request, e *catalogue.Entry) (*claim, *Fault) {
	key := r.Header.Get(HeaderKey)
	if safeMethod(r.Method) || key == "" {
		return nil, nil
	}
	return h.claims.begin(ctx, idempotency.KeyOf(e.Number, e.Owner, key))
}

// stateOfFailure returns the state of a request without a response: Lost if it may have run,
// Released if not.
func stateOfFailure(e *CallError) idempotency.State {
	if e.Sent {
		return idempotency.Lost
	}
	return idempotency.Released
}

// stateOfResponse returns the state of a request with a response. A backend server that sheds
// a request and returns Retry-After has not run it, so a retry is allowed.
func stateOfResponse(resp *http.Response) idempotency.State {
	if isShed(resp) && resp.Header.Get("Retry-After") != "" {
		return idempotency.Released
	}
	return idempotency.Done
}

func isShed(resp *http.Response) bool {
	return resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests
}

// headerDeadline bounds the time until the response header. The body may take any time.
type headerDeadline struct {
	deadline time.Time
	timer    *time.Timer
}

func (d headerDeadline) stop() { d.timer.Stop() }

// withHeaderDeadline returns a context that is cancelled when the caller disconnects, or
// at the deadline unless that is stopped before.
func withHeaderDeadline(r *http.Request, e *catalogue.Entry) (context.Context, headerDeadline) {
	timeout := e.Limits.Deadline
	if timeout == 0 {
		timeout = catalogue.DefaultDeadline
	}
	if ms, err := strconv.ParseUint(r.Header.Get(HeaderTimeout), 10, 31); err == nil && ms > 0 {
		timeout = time.Duration(ms) * time.Millisecond
	}
	ctx, cancel := context.WithCancelCause(r.Context())
	timer := time.AfterFunc(timeout, func() { cancel(context.DeadlineExceeded) })
	return ctx, headerDeadline{deadline: time.Now().Add(timeout), timer: timer}
}

func admissionRequest(r *http.Request, e *catalogue.Entry, deadline time.Time) admission.Request {
	return admission.Request{
		Owner:      callerAddr(r).String(),
		Class:      classOf(r, e),
		Deadline:   deadline,
		Idempotent: safeMethod(r.Method),
	}
}

// classOf returns the class of a request. A request that accepts an event stream is a feed;
// all others have the class of the catalogue entry.
func classOf(r *http.Request, e *catalogue.Entry) catalogue.Class {
	if strings.Contains(r.Header.Get("Accept"), "text/event-stream") {
		return catalogue.ClassStream
	}
	return e.Class
}

// callerAddr returns the caller's address from the request's virtual address.
func callerAddr(r *http.Request) netip.Addr {
	a, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return netip.IPv4Unspecified()
	}
	return addrOf(net.UDPAddrFromAddrPort(a))
}

// addrOf returns the caller's address that a virtual address encodes, or the unspecified
// address for any other address.
func addrOf(a net.Addr) netip.Addr {
	u, ok := a.(*net.UDPAddr)
	if !ok {
		return netip.IPv4Unspecified()
	}
	k, ok := keyOf(u)
	if !ok {
		return netip.IPv4Unspecified()
	}
	return k.caller.Addr()
}

// hopHeaders are the headers that concern one connection only (RFC 9110, 7.6.1).
var hopHeaders = []string{"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

func backendHeader(r *http.Request, deadline time.Time) http.Header {
	out := r.Header.Clone()
	for _, name := range hopHeaders {
		out.Del(name)
	}
	left := max(time.Until(deadline).Milliseconds(), 1)
	out.Set(HeaderTimeout, strconv.FormatInt(left, 10))
	out.Set("X-Forwarded-For", callerAddr(r).String())
	out.Set("X-Forwarded-Proto", "https")
	return out
}

// writeResponse forwards the backend server's response. Its errors are those of copyBody.
func (h *handler) writeResponse(w http.ResponseWriter, resp *http.Response) error {
	header := w.Header()
	for k, v := range resp.Header {
		header[k] = v
	}
	for _, name := range hopHeaders {
		header.Del(name)
	}
	w.WriteHeader(resp.StatusCode)
	return copyBody(w, resp.Body, resp.ContentLength < 0)
}

// callerWriteError reports that a response could not be sent to the caller.
type callerWriteError struct{ err error }

func (e *callerWriteError) Error() string { return "response not sent to the caller: " + e.err.Error() }

func (e *callerWriteError) Unwrap() error { return e.err }

// copyBody copies a response body. With flush, each part is sent as soon as it is read. A
// *callerWriteError means that the caller did not take it; other errors are of the reads.
func copyBody(w http.ResponseWriter, body io.Reader, flush bool) error {
	var buf copyBuffer
	defer buf.free()
	rc := http.NewResponseController(w)
	if flush {
		rc.Flush() // send the header before the first part
	}
	for {
		n, err := body.Read(buf.next())
		if n > 0 {
			if _, werr := w.Write(buf.filled(n)); werr != nil {
				return &callerWriteError{werr}
			}
			if flush {
				rc.Flush()
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// admissionResult returns the result of a request with a response for the controller.
func admissionResult(resp *http.Response) admission.Result {
	if !isShed(resp) {
		return admission.Result{Outcome: admission.OK}
	}
	seconds, _ := strconv.Atoi(resp.Header.Get("Retry-After"))
	return admission.Result{Outcome: admission.Shed, RetryAfter: time.Duration(seconds) * time.Second}
}

// refuse sends f as the response.
func (h *handler) refuse(w http.ResponseWriter, f *Fault) {
	h.metrics.refusals.WithLabelValues(f.Reason).Inc()
	h.metrics.requests.WithLabelValues(f.Outcome).Inc()
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(HeaderOutcome, f.Outcome)
	header.Set(HeaderReason, f.Reason)
	if f.FirstStatus > 0 {
		header.Set(HeaderFirstStatus, strconv.Itoa(f.FirstStatus))
	}
	if f.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(roundUpSeconds(f.RetryAfter)))
	}
	w.WriteHeader(f.Status)
	json.NewEncoder(w).Encode(f)
}

func roundUpSeconds(d time.Duration) int {
	return max(1, int((d+time.Second-1)/time.Second))
}

// refusalFault returns the response to a request that the gate did not admit.
func refusalFault(err error) *Fault {
	var r admission.Refusal
	if !errors.As(err, &r) {
		return &Fault{Status: http.StatusGatewayTimeout, Outcome: OutcomeNotRun, Reason: "canceled", Remedy: "the caller went away while the request waited; send it again"}
	}
	status := http.StatusServiceUnavailable
	if r.Reason == admission.ReasonLimit {
		status = http.StatusTooManyRequests
	}
	return &Fault{Status: status, Outcome: OutcomeNotRun, Reason: r.Reason.String(), Remedy: r.Error(), RetryAfter: r.RetryAfter}
}

// noBackendRetryAfter is the Retry-After of a request of which no byte was sent.
const noBackendRetryAfter = time.Second

// callFault returns the response to a request that got no response from the backend server.
// ctx is the context of the call, which ends at the deadline.
func callFault(ctx context.Context, r *http.Request, e *CallError) *Fault {
	if !e.Sent {
		return &Fault{
			Status: http.StatusServiceUnavailable, Outcome: OutcomeNotRun, Reason: "no_backend",
			Remedy: e.Error(), RetryAfter: noBackendRetryAfter,
		}
	}
	f := &Fault{Status: http.StatusBadGateway, Outcome: OutcomeUnknown, Reason: "no_answer", Remedy: e.Error()}
	if r.Context().Err() == nil && ctx.Err() != nil {
		f.Status, f.Reason = http.StatusGatewayTimeout, "deadline"
	}
	return f
}
