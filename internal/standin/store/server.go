// Package store is an in-memory stand-in for the platform's key-value service,
// with its rate limits and, on demand, its failures. It keeps no version history
// and no data after it is stopped.
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

// Config holds the settings of a Server.
type Config struct {
	ReadRate  int           // reads per second, including watches; default DefaultReadRate
	WriteRate int           // writes per second, including lease calls; default DefaultWriteRate
	WatchWait time.Duration // maximum wait of a watch; default DefaultWatchWait
	Seed      uint64        // seed of the random faults
}

// Faults are the faults that SetFaults sets; the zero value has none.
type Faults struct {
	Outage       bool          `json:"outage"`       // every call fails
	Delay        time.Duration `json:"delay_ns"`     // before every call takes effect
	LoseResponse float64       `json:"lose_answer"`  // ratio of writes that take effect but whose response is lost
	StopWatches  bool          `json:"stop_watches"` // watches neither return nor fail
}

// Calls counts the calls that the server received, including refused ones.
type Calls struct {
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Watches uint64 `json:"watches"`
	Leases  uint64 `json:"leases"`
	Limited uint64 `json:"limited"` // refused because of the rate limit
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

// New returns a server that holds no values.
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

// SetFaults replaces the current faults. Watches that are stopped do not resume.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Faults returns the current faults.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Calls returns the number of calls so far.
func (s *Server) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// KeyCount returns the number of keys that have a value.
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

// expire removes expired leases and the values under them.
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

// swap executes a compare-and-swap. It took effect if the error is nil.
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
