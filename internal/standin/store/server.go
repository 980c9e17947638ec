// Package store is an in-memory stand-in of the platform's key-value service
// with its rates and, on demand, its failures. It keeps no version history
// and loses everything when it stops.
package store

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/hemlockscale/hemlockscale/internal/store"
)

// Defaults of Config.
const (
	DefaultReadRate  = 2000
	DefaultWriteRate = 300
	DefaultWatchWait = 10 * time.Second
)

// Config sets up a Server.
type Config struct {
	ReadRate  int           // reads a second, watches included; default DefaultReads
	WriteRate int           // writes a second, lease calls included; default DefaultWrites
	WatchWait time.Duration // how long a watch waits; default DefaultWatchWait
	Seed      uint64        // of the faults that strike by chance
}

// Faults are switched on and off by SetFaults; the zero value is none.
type Faults struct {
	Outage      bool          `json:"outage"`       // every call is refused
	Delay       time.Duration `json:"delay_ns"`     // before every call takes effect
	LoseAnswer  float64       `json:"lose_answer"`  // share of writes whose answer is lost after the effect
	StopWatches bool          `json:"stop_watches"` // watches neither answer nor end
}

// Calls counts what reached the server, refused calls included.
type Calls struct {
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Watches uint64 `json:"watches"`
	Leases  uint64 `json:"leases"`
	Limited uint64 `json:"limited"` // refused because over the rate
}

type record struct {
	store.Value
	lease store.LeaseID
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// Server is the stand-in. It is safe for concurrent use.
type Server struct {
	cfg    Config
	reads  *rate.Limiter
	writes *rate.Limiter

	mu      sync.Mutex
	version uint64
	values  map[string]record
	leases  map[store.LeaseID]lease
	faults  Faults
	calls   Calls
	rng     *rand.Rand
	changed chan struct{} // closed and replaced at each write
}

// New returns a server without values.
func New(cfg Config) *Server {
	if cfg.ReadRate <= 0 {
		cfg.ReadRate = DefaultReadRate
	}
	if cfg.WriteRate <= 0 {
		cfg.WriteRate = DefaultWriteRate
	}
	if cfg.WatchWait <= 0 {
		cfg.WatchWait = DefaultWatchWait
	}
	return &Server{
		cfg:     cfg,
		reads:   rate.NewLimiter(rate.Limit(cfg.ReadRate), cfg.ReadRate),
		writes:  rate.NewLimiter(rate.Limit(cfg.WriteRate), cfg.WriteRate),
		values:  make(map[string]record),
		leases:  make(map[store.LeaseID]lease),
		rng:     rand.New(rand.NewPCG(cfg.Seed, 1)),
		changed: make(chan struct{}),
	}
}

// SetFaults replaces the faults in force. Watches that were stopped stay so.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Faults returns the faults in force.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Calls returns the counts so far.
func (s *Server) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// KeyCount returns how many keys hold a value.
func (s *Server) KeyCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	return len(s.values)
}

// Handler returns the HTTP interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+store.PathValue, s.handleGet)
	mux.HandleFunc("GET "+store.PathWatch, s.handleWatch)
	mux.HandleFunc("POST "+store.PathSwap, s.handleSwap)
	mux.HandleFunc("POST "+store.PathDelete, s.handleDelete)
	mux.HandleFunc("POST "+store.PathGrant, s.handleGrant)
	mux.HandleFunc("POST "+store.PathRenew, s.handleRenew)
	mux.HandleFunc("GET "+PathCalls, s.handleCalls)
	mux.HandleFunc("POST "+PathFaults, s.handleFaults)
	return mux
}

// expire removes leases that have ended and the values under them.
func (s *Server) expire(now time.Time) {
	for id, l := range s.leases {
		if now.Before(l.end) {
			continue
		}
		delete(s.leases, id)
		for key, r := range s.values {
			if r.lease == id {
				s.remove(key)
			}
		}
	}
}

func (s *Server) remove(key string) {
	delete(s.values, key)
	s.notifyWatches()
}

func (s *Server) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Server) grant(now time.Time, ttl time.Duration) store.LeaseID {
	s.version++
	id := store.LeaseID(strconv.FormatUint(s.version, 16))
	s.leases[id] = lease{ttl: ttl, end: now.Add(ttl)}
	return id
}

func (s *Server) renew(now time.Time, id store.LeaseID) bool {
	s.expire(now)
	l, ok := s.leases[id]
	if !ok {
		return false
	}
	l.end = now.Add(l.ttl)
	s.leases[id] = l
	return true
}

// swap applies a compare-and-swap; a nil error means that it took effect.
func (s *Server) swap(now time.Time, b store.SwapBody) (uint64, *store.ErrorBody) {
	s.expire(now)
	if len(b.Data) > store.MaxValue {
		return 0, &store.ErrorBody{Code: store.CodeTooLarge}
	}
	if _, ok := s.leases[b.Lease]; b.Lease != "" && !ok {
		return 0, &store.ErrorBody{Code: store.CodeLeaseExpired}
	}
	if current := s.values[b.Key].Version; current != b.Expect {
		return 0, &store.ErrorBody{Code: store.CodeConflict, Current: current}
	}
	s.version++
	s.values[b.Key] = record{Value: store.Value{Data: b.Data, Version: s.version}, lease: b.Lease}
	s.notifyWatches()
	return s.version, nil
}

func (s *Server) delete(now time.Time, b store.SwapBody) *store.ErrorBody {
	s.expire(now)
	r, ok := s.values[b.Key]
	if !ok {
		return &store.ErrorBody{Code: store.CodeNotFound}
	}
	if b.Expect != 0 && b.Expect != r.Version {
		return &store.ErrorBody{Code: store.CodeConflict, Current: r.Version}
	}
	s.remove(b.Key)
	return nil
}
