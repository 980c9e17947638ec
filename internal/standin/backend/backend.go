// Package backend simulates a customer's backend server: HTTP/1.1, a limited
// number of slots, endpoints for health and load, whose values may be out of date, and a
// journal of the work that it started.
package backend

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/trace"

	"github.com/hemlockscale/hemlockscale/internal/standin/content"
	"github.com/hemlockscale/hemlockscale/internal/tracing"
)

// Config holds the settings of a backend server.
type Config struct {
	Listen          string // address and port
	Name            string // sent to callers in the header Backend-Server
	Service         string // sent to callers in the header Backend-Service
	Slots           int    // maximum number of short requests in progress
	Connections     int
	RequestDuration time.Duration     // of short requests; downloads and feeds set their own pace
	LoadLag         time.Duration     // age of the load that /load reports
	Traces          *tracing.Provider // nil: tracing is off
}

// JournalEntry is one entry of the journal: a request whose work was started.
type JournalEntry struct {
	Key    string `json:"key"` // Idempotency-Key of the request
	Method string `json:"method"`
	Path   string `json:"path"`
}

// Server is a running backend server.
type Server struct {
	cfg   Config
	ln    net.Listener
	http  *http.Server
	slots chan struct{}
	conns atomic.Int64
	work  atomic.Int64 // nanoseconds
	shed  atomic.Bool
	stall atomic.Bool
	fault atomic.Int32 // a Fault

	mu      sync.Mutex
	journal []JournalEntry
	load    []loadSample
}

// loadSample is the number of busy slots at a time.
type loadSample struct {
	at   time.Time
	busy int
}

// Start starts a backend server.
func Start(cfg Config) (*Server, error) {
	ln, err := net.Listen("tcp4", cfg.Listen)
	if err != nil {
		return nil, err
	}
	s := &Server{cfg: cfg, ln: ln, slots: make(chan struct{}, cfg.Slots)}
	s.SetRequestDuration(cfg.RequestDuration)
	s.http = &http.Server{Handler: cfg.Traces.Wrap(s.handler(), traced), ConnState: s.connState}
	go s.http.Serve(ln)
	return s, nil
}

// traced samples the requests whose parent span is sampled.
func traced(_ *http.Request, parent trace.SpanContext) ([]trace.Link, bool) {
	return nil, parent.IsSampled()
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// Name returns the name that the server sends to callers.
func (s *Server) Name() string { return s.cfg.Name }

// Close stops the server and closes its connections.
func (s *Server) Close() { s.http.Close() }

// SetRequestDuration sets the duration of a short request.
func (s *Server) SetRequestDuration(d time.Duration) { s.work.Store(int64(d)) }

// SetShed sets whether the server answers every short request with 503.
func (s *Server) SetShed(on bool) { s.shed.Store(on) }

// SetStall sets whether the server runs short requests without ever answering them.
func (s *Server) SetStall(on bool) { s.stall.Store(on) }

// Journal returns the requests whose work was started, oldest first.
func (s *Server) Journal() []JournalEntry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]JournalEntry(nil), s.journal...)
}

func (s *Server) connState(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.conns.Add(1)
	case http.StateClosed, http.StateHijacked:
		s.conns.Add(-1)
	}
}

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /card/{id}", s.slot(s.card))
	mux.HandleFunc("POST /reserve", s.slot(s.reserve))
	mux.HandleFunc("GET /feed", s.feed)
	mux.HandleFunc("GET /download", s.download)
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok\n") })
	mux.HandleFunc("GET /load", s.serveLoad)
	mux.HandleFunc("GET /journal", s.serveJournal)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Backend-Server", s.cfg.Name)
		w.Header().Set("Backend-Service", s.cfg.Service)
		mux.ServeHTTP(w, r)
	})
}

// slot runs h in a slot, or answers 503 if none is free.
func (s *Server) slot(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		select {
		case s.slots <- struct{}{}:
		default:
			s.refuse(w)
			return
		}
		s.recordLoad()
		defer func() {
			<-s.slots
			s.recordLoad()
		}()
		if s.shed.Load() {
			s.refuse(w)
			return
		}
		h(w, r)
	}
}

func (s *Server) refuse(w http.ResponseWriter) {
	w.Header().Set("Retry-After", "1")
	http.Error(w, "no free slot", http.StatusServiceUnavailable)
}

// simulateWork waits for the duration of a short request, or forever while the server is
// stalled, but not longer than the client waits.
func (s *Server) simulateWork(r *http.Request) {
	if s.stall.Load() {
		<-r.Context().Done()
		return
	}
	select {
	case <-time.After(time.Duration(s.work.Load())):
	case <-r.Context().Done():
	}
}

func (s *Server) card(w http.ResponseWriter, r *http.Request) {
	s.simulateWork(r)
	if s.injectFault(w, r) {
		return
	}
	io.WriteString(w, content.Card(s.cfg.Service, r.PathValue("id")))
}

func (s *Server) reserve(w http.ResponseWriter, r *http.Request) {
	key := r.Header.Get("Idempotency-Key")
	s.mu.Lock()
	s.journal = append(s.journal, JournalEntry{Key: key, Method: r.Method, Path: r.URL.Path})
	s.mu.Unlock()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.simulateWork(r)
	if s.injectFault(w, r) {
		return
	}
	w.WriteHeader(http.StatusCreated)
	fmt.Fprintf(w, "%s reserved %s for %s\n", s.cfg.Service, body, key)
}

func (s *Server) feed(w http.ResponseWriter, r *http.Request) {
	events, seed := queryNumber(r, "events"), queryNumber(r, "seed")
	interval := time.Duration(queryNumber(r, "interval_ms")) * time.Millisecond
	w.Header().Set("Content-Type", "text/event-stream")
	tick := time.NewTicker(max(interval, time.Millisecond))
	defer tick.Stop()
	for n := range int(events) {
		io.WriteString(w, content.Event(s.cfg.Service, seed, n))
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
		select {
		case <-tick.C:
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Server) download(w http.ResponseWriter, r *http.Request) {
	size, seed := queryNumber(r, "bytes"), queryNumber(r, "seed")
	w.Header().Set("Content-Length", strconv.FormatUint(size, 10))
	body := content.New(s.cfg.Service, seed)
	if rate := queryNumber(r, "rate"); rate > 0 {
		paced(w, r, body, size, rate)
		return
	}
	io.CopyN(w, body, int64(size))
}

// paced sends size bytes of body at rate bytes per second.
func paced(w http.ResponseWriter, r *http.Request, body io.Reader, size, rate uint64) {
	const interval = 20 * time.Millisecond
	part := max(rate*uint64(interval)/uint64(time.Second), 1)
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for sent := uint64(0); sent < size; sent += part {
		io.CopyN(w, body, int64(min(part, size-sent)))
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
		select {
		case <-tick.C:
		case <-r.Context().Done():
			return
		}
	}
}

// queryNumber returns a parameter of the query as a number, 0 if it is missing or not a number.
func queryNumber(r *http.Request, name string) uint64 {
	n, _ := strconv.ParseUint(r.URL.Query().Get(name), 10, 63)
	return n
}

// recordLoad records the number of busy slots for /load.
func (s *Server) recordLoad() {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.load = append(s.load, loadSample{at: now, busy: len(s.slots)})
	for len(s.load) > 1 && now.Sub(s.load[1].at) > s.cfg.LoadLag {
		s.load = s.load[1:]
	}
}

func (s *Server) serveLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	busy := 0
	if len(s.load) > 0 {
		busy = s.load[0].busy
	}
	s.mu.Unlock()
	json.NewEncoder(w).Encode(map[string]int64{"busy": int64(busy), "slots": int64(s.cfg.Slots), "connections": s.conns.Load()})
}

func (s *Server) serveJournal(w http.ResponseWriter, _ *http.Request) {
	json.NewEncoder(w).Encode(s.Journal())
}
