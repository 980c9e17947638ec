package store

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"golang.org/x/time/rate"

	"github.com/hemlockscale/hemlockscale/internal/standin/platform"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func newClient(t *testing.T, url string) *Client {
	t.Helper()
	c, err := New(Config{URL: url, Timeout: 5 * time.Second})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

// Symptom: an edit that took effect is reported as a conflict.
// Events: a compare-and-swap goes out on a reused connection, takes effect,
// and the connection ends before the answer.
// Cause: net/http sends a request again by itself when a reused connection
// fails and the request counts as idempotent with a body that it can rewind.
func TestSwapIsSentOnce(t *testing.T) {
	var swaps atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			_, _ = io.WriteString(w, `{"version":1}`)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		swaps.Add(1)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			_ = conn.Close()
		}
	}))
	defer server.Close()
	c := newClient(t, server.URL)
	if _, err := c.Get(context.Background(), "a"); err != nil { // leaves a connection to reuse
		t.Fatal(err)
	}
	var unknown *UnknownOutcomeError
	if _, err := c.CompareAndSwap(context.Background(), "a", 1, []byte("x"), ""); !errors.As(err, &unknown) {
		t.Fatalf("got %v, want unknown outcome", err)
	}
	if n := swaps.Load(); n != 1 {
		t.Fatalf("sent %d times", n)
	}
}

func TestWriteOutcomeByAnswer(t *testing.T) {
	tests := []struct {
		name   string
		status int
		body   string
		want   any
	}{
		{"not run", 503, `{"code":"not_run"}`, new(*UnavailableError)},
		{"bare 503", 503, "gateway", new(*UnknownOutcomeError)},
		{"redirect", 307, "", new(*UnknownOutcomeError)},
		{"cut answer", 200, `{"ver`, new(*UnknownOutcomeError)},
		{"conflict", 409, `{"code":"conflict","current":4}`, new(*ConflictError)},
		{"lease", 410, `{"code":"lease_expired"}`, new(*LeaseExpiredError)},
		{"strange code", 418, `{"code":"tea"}`, new(*UnknownOutcomeError)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Location", "/elsewhere")
				w.WriteHeader(tt.status)
				_, _ = io.WriteString(w, tt.body)
			}))
			defer server.Close()
			_, err := newClient(t, server.URL).CompareAndSwap(context.Background(), "a", 1, nil, "")
			if !errors.As(err, tt.want) {
				t.Fatalf("got %T %v", err, err)
			}
		})
	}
}

func TestWriteDidNotRunWithoutConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	_, err = newClient(t, "http://"+l.Addr().String()).CompareAndSwap(context.Background(), "a", 1, nil, "")
	var unavailable *UnavailableError
	if !errors.As(err, &unavailable) {
		t.Fatalf("got %v", err)
	}
}

func TestNewRefusesURL(t *testing.T) {
	for _, url := range []string{"", "10.0.0.1:70", "https://a", "http://"} {
		if _, err := New(Config{URL: url}); err == nil || !strings.Contains(err.Error(), "setting") {
			t.Errorf("%q: %v", url, err)
		}
	}
}

func TestBackoffGrowsToMax(t *testing.T) {
	b := Backoff{Base: time.Second, Max: 8 * time.Second, Rand: rand.New(rand.NewPCG(1, 1))}
	for _, want := range []time.Duration{1, 2, 4, 8, 8, 8} {
		if d := b.Next(); d < want*time.Second/2 || d > want*time.Second {
			t.Fatalf("waited %v around %d s", d, want)
		}
	}
	b.Reset()
	if d := b.Next(); d > time.Second {
		t.Fatalf("waited %v after a reset", d)
	}
}

// clientOverSlowLink serves h over a link that carries bytesPerS, both ways.
func clientOverSlowLink(t *testing.T, bytesPerS int, h http.HandlerFunc) *Client {
	t.Helper()
	s := httptest.NewUnstartedServer(h)
	s.Listener = platform.NewLink(bytesPerS).Listen(s.Listener)
	s.Start()
	t.Cleanup(s.Close)
	c, err := New(Config{URL: s.URL, Timeout: 300 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

// Guards against a page of the catalogue that can't be read over a thin link, since it does
// not arrive within a fixed time.
func TestLargeValueIsReadOverSlowLink(t *testing.T) {
	want := make([]byte, MaxValue/2)
	c := clientOverSlowLink(t, 500_000, func(w http.ResponseWriter, _ *http.Request) {
		if err := json.NewEncoder(w).Encode(ValueBody{Data: want, Version: 1}); err != nil {
			t.Error(err)
		}
	})
	v, err := c.Get(context.Background(), "a")
	if err != nil || len(v.Data) != len(want) {
		t.Fatalf("%d bytes, %v", len(v.Data), err)
	}
}

// Guards against an edit whose outcome stays unknown however often it is made: the link
// does not carry its page within a fixed time.
func TestLargeValueIsWrittenOverSlowLink(t *testing.T) {
	const part, partsPerS = 64 << 10, 16
	pace := rate.NewLimiter(partsPerS, 1)
	c := clientOverSlowLink(t, 1<<20, func(w http.ResponseWriter, r *http.Request) {
		for pace.Wait(r.Context()) == nil {
			if _, err := io.CopyN(io.Discard, r.Body, part); err != nil {
				break
			}
		}
		if err := json.NewEncoder(w).Encode(VersionBody{Version: 1}); err != nil {
			t.Error(err)
		}
	})
	if _, err := c.CompareAndSwap(context.Background(), "a", 0, make([]byte, MaxValue), ""); err != nil {
		t.Fatal(err)
	}
}

// Guards against a service that stops in the middle of an answer, and holds its caller.
func TestStalledResponseTimesOut(t *testing.T) {
	c := clientOverSlowLink(t, 1<<20, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", "1000")
		w.WriteHeader(http.StatusOK)
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	})
	var unavailable *UnavailableError
	if _, err := c.Get(context.Background(), "a"); !errors.As(err, &unavailable) {
		t.Fatalf("%v", err)
	}
}
