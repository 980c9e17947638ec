package agent

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/hemlockscale/hemlockscale/admission"
	"github.com/hemlockscale/hemlockscale/catalogue"
)

// newTestHandler returns a handler for a backend server.
func newTestHandler(t *testing.T, backendURL string) *handler {
	t.Helper()
	u, err := url.Parse(backendURL)
	if err != nil {
		t.Fatal(err)
	}
	h := &handler{
		entry:   &atomic.Pointer[catalogue.Entry]{},
		gate:    newGate(admission.Config{}),
		backend: newBackend(u),
		metrics: newMetrics(prometheus.NewRegistry()),
	}
	h.entry.Store(&catalogue.Entry{Service: "listing", Class: catalogue.ClassInteractive})
	t.Cleanup(h.backend.close)
	return h
}

func serve(h *handler, method, path string, body io.Reader) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	r := httptest.NewRequest(method, "https://listing"+path, body)
	r.Header.Set("Accept", "*/*")
	h.ServeHTTP(w, r)
	return w
}

// closingServer returns a server that accepts connections, reads the first bytes of a request
// and closes the connection, and the number of requests read.
func closingServer(t *testing.T) (url string, requests *atomic.Int64) {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	requests = new(atomic.Int64)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			if n, _ := c.Read(make([]byte, 512)); n > 0 {
				requests.Add(1)
			}
			c.Close()
		}
	}()
	t.Cleanup(func() {
		ln.Close()
		<-done
	})
	return "http://" + ln.Addr().String(), requests
}

// TestRetriesStayWithinBudget guards against a failing backend server that receives twice its
// load. The server closes every connection after reading the request, and without a retry
// budget each request is sent again.
func TestRetriesStayWithinBudget(t *testing.T) {
	url, requests := closingServer(t)
	h := newTestHandler(t, url)
	const offered = 200
	for range offered {
		if w := serve(h, http.MethodGet, "/card/1", nil); w.Code != http.StatusBadGateway {
			t.Fatalf("status %d, want 502", w.Code)
		}
	}
	if got := requests.Load(); got > offered*11/10 {
		t.Errorf("%d attempts for %d requests", got, offered)
	}
}

// TestPostIsSentOnce guards against a reservation that runs twice. A request with an idempotency
// key and no body is sent on a reused connection, which the backend server closes after it has
// run the request. http.Transport would repeat such a request by itself.
func TestPostIsSentOnce(t *testing.T) {
	var runs atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			return
		}
		runs.Add(1)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			conn.Close()
		}
	}))
	t.Cleanup(server.Close)
	h := newTestHandler(t, server.URL)
	serve(h, http.MethodGet, "/warm", nil) // leaves an idle connection that the next request reuses
	r := httptest.NewRequest(http.MethodPost, "https://listing/reserve", http.NoBody)
	r.Header.Set(HeaderKey, "key-1")
	r.ContentLength = 0
	_, err := h.backend.do(t.Context(), r, r.Header)
	if e := asCallError(err); err == nil || !e.Sent {
		t.Errorf("error %v, want a CallError with Sent", err)
	}
	if n := runs.Load(); n != 1 {
		t.Errorf("request ran %d times, want once", n)
	}
}

// TestNotRunWithoutBackend checks that a request of which no byte has reached the backend
// server is refused as not run, with a Retry-After.
func TestNotRunWithoutBackend(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ln.Close()
	h := newTestHandler(t, "http://"+ln.Addr().String())
	w := serve(h, http.MethodPost, "/reserve", strings.NewReader("part"))
	if w.Code != http.StatusServiceUnavailable || w.Header().Get(HeaderOutcome) != OutcomeNotRun || w.Header().Get("Retry-After") == "" {
		t.Errorf("status %d header %v, want 503, not-run and a Retry-After", w.Code, w.Header())
	}
}

// TestDeadlineIsForwarded checks that the backend server receives the remaining time of the
// caller, and that the caller gets a response when that is over.
func TestDeadlineIsForwarded(t *testing.T) {
	received := make(chan string, 1)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body) // the server detects a closed connection only after the body is read
		received <- r.Header.Get(HeaderTimeout)
		<-r.Context().Done()
	}))
	t.Cleanup(server.Close)
	h := newTestHandler(t, server.URL)
	w := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodPost, "https://listing/reserve", strings.NewReader("part"))
	r.Header.Set(HeaderTimeout, "200")
	h.ServeHTTP(w, r)
	if w.Code != http.StatusGatewayTimeout || w.Header().Get(HeaderOutcome) != OutcomeUnknown {
		t.Errorf("status %d outcome %q, want 504 and unknown", w.Code, w.Header().Get(HeaderOutcome))
	}
	left, err := time.ParseDuration(<-received + "ms")
	if err != nil || left <= 0 || left > 200*time.Millisecond {
		t.Errorf("backend server received a timeout of %v (%v), want at most 200ms", left, err)
	}
}
