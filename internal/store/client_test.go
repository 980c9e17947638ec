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

// Guards against a conflict reported for an edit that took effect: a compare-and-swap takes
// effect, its reused connection closes before the response, and net/http retries the request
// by itself if it counts as idempotent and has a body that can be rewound.
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
		t.Fatalf("got %v, want an unknown outcome", err)
	}
	if n := swaps.Load(); n != 1 {
		t.Fatalf("compare-and-swap sent %d times, want once", n)
	}
}

func TestWriteOutcomeByResponse(t *testing.T) {
	tests := []struct {
		name   string
		status int
		body   string
		want   any
	}{
		{"not run", 503, `{"code":"not_run"}`, new(*UnavailableError)},
		{"bare 503", 503, "gateway", new(*UnknownOutcomeError)},
		{"redirect", 307, "", new(*UnknownOutcomeError)},
		{"truncated response", 200, `{"ver`, new(*UnknownOutcomeError)},
		{"conflict", 409, `{"code":"conflict","current":4}`, new(*ConflictError)},
		{"lease", 410, `{"code":"lease_expired"}`, new(*LeaseExpiredError)},
		{"unknown code", 418, `{"code":"tea"}`, new(*UnknownOutcomeError)},
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
				t.Fatalf("got error of type %T: %v", err, err)
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
		t.Fatalf("got %v, want an *UnavailableError", err)
	}
}

func TestNewRejectsInvalidURL(t *testing.T) {
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
			t.Fatalf("wait of %v, want between half and the whole of %d s", d, want)
		}
	}
	b.Reset()
	if d := b.Next(); d > time.Second {
		t.Fatalf("wait of %v after a reset, want at most 1 s", d)
	}
}

// clientOverSlowLink serves h over a link with a rate of bytesPerS in each direction, and
// returns a client of it.
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

// Guards against a fixed time limit for whole responses: a large page of the catalogue could
// never be read over a slow link.
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

// Guards against a fixed time limit for whole requests: every attempt to write a large page
// over a slow link would end with an unknown outcome.
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

// Guards against a read that blocks when the server stops sending in the middle of a response.
func TestStalledResponseTimesOut(t *testing.T) {
	c := clientOverSlowLink(t, 1<<20, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", "1000")
		w.WriteHeader(http.StatusOK)
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	})
	var unavailable *UnavailableError
	if _, err := c.Get(context.Background(), "a"); !errors.As(err, &unavailable) {
		t.Fatalf("got error %v, want an *UnavailableError", err)
	}
}
