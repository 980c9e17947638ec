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

// Headers between callers, agents and backend servers.
const (
	// HeaderTimeout is how long the caller waits for the answer's header, in
	// milliseconds. The agent passes on what is left of it.
	HeaderTimeout = "Request-Timeout-Ms"
	// HeaderOutcome tells what is known of a request that got no answer of
	// the backend server: OutcomeNotRun or OutcomeUnknown.
	HeaderOutcome = "Hemlock-Outcome"
	// HeaderReason is the reason of a refusal in one word.
	HeaderReason = "Hemlock-Reason"
	// HeaderKey names one non-idempotent request across its repeats.
	HeaderKey = "Idempotency-Key"
)

// Values of HeaderOutcome.
const (
	OutcomeNotRun  = "not-run" // no byte of the request reached the backend server
	OutcomeUnknown = "unknown" // it may have run; ask before sending it again
)

// handler serves the requests of one service's callers.
type handler struct {
	entry   *atomic.Pointer[catalogue.Entry]
	gate    *gate
	backend *backend
	claims  *claims
	metrics *metrics
}

// Fault is the final answer to a request that the backend server did not
// answer. Its JSON form is the answer's body.
type Fault struct {
	Status     int           `json:"status"`
	Outcome    string        `json:"outcome"`
	Reason     string        `json:"reason"`
	Remedy     string        `json:"remedy"`
	RetryAfter time.Duration `json:"-"`
	// FirstStatus is the status of the earlier attempt; 0 if there is none.
	FirstStatus int `json:"first_status,omitempty"`
}

func (f *Fault) Error() string { return f.Reason + " (" + f.Outcome + "): " + f.Remedy }

// ServeHTTP answers one request.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	entry := h.entry.Load()
	ctx, header := withHeaderDeadline(r, entry)
	defer header.stop()
	request := admissionRequest(r, entry, header.deadline)
	permit, err := h.gate.enter(ctx, request)
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
	resp, err := h.call(ctx, r, request)
	if err != nil {
		failed := asCallError(err)
		claim.finish(stateOfFailure(failed), 0)
		outcome, fault := h.callFault(r, failed)
		permit.done(admission.Result{Outcome: outcome})
		h.refuse(w, fault)
		return
	}
	defer resp.Body.Close()
	header.stop()
	claim.finish(stateOfAnswer(resp), resp.StatusCode)
	permit.headerReceived()
	h.answer(w, resp)
	permit.done(admissionResult(resp))
}

// call sends a request to the backend server. A safe one that got no answer,
// for example because its connection was closed under it, is sent once more if
// the retry budget allows: without a budget a backend server that fails would
// get twice its load at the worst time.
func (h *handler) call(ctx context.Context, r *http.Request, request admission.Request) (*http.Response, error) {
	h.gate.countAttempt()
	resp, err := h.backend.do(ctx, r, backendHeader(r, request.Deadline))
	if err == nil || ctx.Err() != nil || !safeMethod(r.Method) || r.ContentLength > 0 {
		return resp, err
	}
	if !h.gate.allowRetry(request) {
		return nil, err
	}
	h.metrics.retries.Inc()
	return h.backend.do(ctx, r, backendHeader(r, request.Deadline))
}

// claim asks for the right to run a non-idempotent request with a key. A
// request without a key is run once by never being sent again.
func (h *handler) claim(ctx context.Context, r *http.Request, e *catalogue.Entry) (*claim, *Fault) {
	key := r.Header.Get(HeaderKey)
	if safeMethod(r.Method) || key == "" {
		return nil, nil
	}
	return h.claims.begin(ctx, idempotency.KeyOf(e.Number, e.Owner, key))
}

// stateOfFailure tells whether a request without an answer may have run.
func stateOfFailure(e *CallError) idempotency.State {
	if e.Sent {
		return idempotency.Lost
	}
	return idempotency.Released
}

// stateOfAnswer tells whether an answered request ran. A backend server that
// refuses and says when to come back did not run it, and a repeat may.
func stateOfAnswer(resp *http.Response) idempotency.State {
	if isShed(resp) && resp.Header.Get("Retry-After") != "" {
		return idempotency.Released
	}
	return idempotency.Done
}

func isShed(resp *http.Response) bool {
	return resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests
}

// headerDeadline bounds the time until the answer's header. A long body may
// take any time after that.
type headerDeadline struct {
	deadline time.Time
	timer    *time.Timer
}

func (d headerDeadline) stop() { d.timer.Stop() }

// withHeaderDeadline returns a context that is cancelled when the caller goes
// away, or at the deadline unless it is stopped before.
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

// classOf returns the class of a request: a feed is known by what it accepts,
// all others are of their entry's class.
func classOf(r *http.Request, e *catalogue.Entry) catalogue.Class {
	if strings.Contains(r.Header.Get("Accept"), "text/event-stream") {
		return catalogue.ClassStream
	}
	return e.Class
}

// callerAddr returns the caller's own address behind the virtual one.
func callerAddr(r *http.Request) netip.Addr {
	a, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return netip.IPv4Unspecified()
	}
	return addrOf(net.UDPAddrFromAddrPort(a))
}

// addrOf returns the caller's address behind a virtual one, or the unspecified
// address for any other.
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

// answer passes the backend server's answer on. If it breaks off, the
// caller's stream is reset: a cut answer must never look whole, which it would
// if the stream were closed normally and the answer had no length.
func (h *handler) answer(w http.ResponseWriter, resp *http.Response) {
	header := w.Header()
	for k, v := range resp.Header {
		header[k] = v
	}
	for _, name := range hopHeaders {
		header.Del(name)
	}
	w.WriteHeader(resp.StatusCode)
	err := copyBody(w, resp.Body, resp.ContentLength < 0)
	if err != nil {
		h.metrics.requests.WithLabelValues("cut").Inc()
		panic(http.ErrAbortHandler)
	}
	h.metrics.requests.WithLabelValues("answered").Inc()
}

// copyBody copies an answer's body. flush sends each part on as it comes.
func copyBody(w http.ResponseWriter, body io.Reader, flush bool) error {
	var buf copyBuffer
	defer buf.free()
	rc := http.NewResponseController(w)
	if flush {
		rc.Flush() // the header goes out before the first part
	}
	for {
		n, err := body.Read(buf.next())
		if n > 0 {
			if _, werr := w.Write(buf.filled(n)); werr != nil {
				return werr
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

// admissionResult tells the controller how the backend server took a request.
func admissionResult(resp *http.Response) admission.Result {
	if !isShed(resp) {
		return admission.Result{Outcome: admission.OK}
	}
	seconds, _ := strconv.Atoi(resp.Header.Get("Retry-After"))
	return admission.Result{Outcome: admission.Shed, RetryAfter: time.Duration(seconds) * time.Second}
}

// refuse sends a fault at once.
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
		header.Set("Retry-After", strconv.Itoa(wholeSeconds(f.RetryAfter)))
	}
	w.WriteHeader(f.Status)
	json.NewEncoder(w).Encode(f)
}

func wholeSeconds(d time.Duration) int {
	return max(1, int((d+time.Second-1)/time.Second))
}

// refusalFault is the answer to a request that the gate did not let in.
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

// noBackendRetryAfter is when to come back after the backend server took no byte.
const noBackendRetryAfter = time.Second

// callFault is the answer to a request that the backend server did not answer.
func (h *handler) callFault(r *http.Request, e *CallError) (admission.Outcome, *Fault) {
	if !e.Sent {
		return admission.Failed, &Fault{
			Status: http.StatusServiceUnavailable, Outcome: OutcomeNotRun, Reason: "no_backend",
			Remedy: e.Error(), RetryAfter: noBackendRetryAfter,
		}
	}
	f := &Fault{Status: http.StatusBadGateway, Outcome: OutcomeUnknown, Reason: "no_answer", Remedy: e.Error()}
	if r.Context().Err() != nil {
		return admission.Canceled, f
	}
	if errors.Is(e.Err, context.DeadlineExceeded) || errors.Is(e.Err, context.Canceled) {
		f.Status, f.Reason = http.StatusGatewayTimeout, "deadline"
		return admission.TimedOut, f
	}
	return admission.Failed, f
}
