// Package platform simulates the users' platform in tests: the key-value store
// and its failures, backend servers and callers that exchange the platform's packets,
// and routers that send callers' packets to balancers.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Fault describes a failure of the store.
type Fault struct {
	RefuseStatus  int           // status code with which all calls fail, 0 for none
	Hang          bool          // calls get no response
	Delay         time.Duration // before a call takes effect
	LoseResponses bool          // writes take effect, but their responses are lost
	StopWatches   bool          // watches report no changes
	Stale         time.Duration // age of reads that may be stale
}

// Store simulates the key-value store.
type Store struct {
	http      *httptest.Server
	endpoints []*Endpoint

	mu       sync.Mutex
	era      uint64 // how often the store was restored from an older copy
	revision uint64
	oldest   uint64 // changes up to here are no longer in the history
	items    map[string]item
	history  []item
	leases   map[uint64]*lease
	fault    func(client netip.Addr) Fault
	calls    map[string]int
	changed  chan struct{}
}

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease,omitempty"`
	Removed  bool   `json:"removed,omitempty"`
	StoreRev uint64 `json:"storeRevision,omitempty"`
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// operatorPrefix is the prefix of the operator's keys.
const operatorPrefix = "op/"

// firstRevision is above 0, as on the platform.
const firstRevision = 100

// NewStore starts a store on a loopback address.
func NewStore() *Store {
	s := &Store{
		revision: firstRevision, oldest: firstRevision, items: map[string]item{}, leases: map[uint64]*lease{},
		fault: func(netip.Addr) Fault { return Fault{} }, calls: map[string]int{}, changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-key", s.guard("key", false, s.key))
	mux.HandleFunc("GET /api/kv-range", s.guard("range", false, s.list))
	mux.HandleFunc("GET /api/kv-watch", s.guard("watch", false, s.watch))
	mux.HandleFunc("POST /api/kv-txn", s.guard("txn", true, s.txn))
	mux.HandleFunc("POST /api/kv-lease", s.guard("lease", true, s.grant))
	mux.HandleFunc("POST /api/kv-keep/{id}", s.guard("keep", true, s.keepAlive))
	mux.HandleFunc("DELETE /api/kv-lease-end/{id}", s.guard("lease-end", true, s.endLease))
	s.http = httptest.NewServer(mux)
	return s
}

// NewEndpoint opens another address of the store, with its own faults.
func (s *Store) NewEndpoint() *Endpoint {
	e := &Endpoint{store: s}
	e.http = httptest.NewUnstartedServer(s.http.Config.Handler)
	e.http.Listener = &droppingListener{Listener: e.http.Listener, endpoint: e}
	e.http.Config.BaseContext = func(net.Listener) context.Context {
		return context.WithValue(context.Background(), endpointKey{}, e)
	}
	e.http.Start()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endpoints = append(s.endpoints, e)
	return e
}

// Addr returns the store's address.
func (s *Store) Addr() netip.AddrPort {
	return netip.MustParseAddrPort(strings.TrimPrefix(s.http.URL, "http://"))
}

// Close stops the store and its endpoints.
func (s *Store) Close() {
	s.SetFault(func(netip.Addr) Fault { return Fault{RefuseStatus: http.StatusServiceUnavailable} })
	s.http.CloseClientConnections()
	s.http.Close()
	s.mu.Lock()
	endpoints := s.endpoints
	s.mu.Unlock()
	for _, e := range endpoints {
		e.http.CloseClientConnections()
		e.http.Close()
	}
}

// SetFault sets the fault by the client's address. Pending watches evaluate it
// immediately.
func (s *Store) SetFault(f func(client netip.Addr) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	s.notifyWatches()
}

// Put writes a key without a lease, as the operator does, and returns its revision.
func (s *Store) Put(key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.put(key, value, 0)
}

// Remove removes the keys with the prefix without ending their leases.
func (s *Store) Remove(prefix string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			s.remove(key)
		}
	}
}

// Compact drops the history. Watches from an earlier revision then fail.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.oldest = s.revision
	s.history = nil
}

// Keys returns the keys with the prefix, sorted.
func (s *Store) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys
}

// Calls returns the number of calls by name, and additionally, as "range of orders", the
// number of range calls for the operator's keys.
func (s *Store) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]int{}
	for name, n := range s.calls {
		out[name] = n
	}
	return out
}

func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put sets the value of a key and returns its revision. s.mu must be held.
func (s *Store) put(key string, value []byte, lease uint64) uint64 {
	s.revision++
	i := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.history = append(s.history, i)
	s.notifyWatches()
	return s.revision
}

func (s *Store) remove(key string) {
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Removed: true})
	s.notifyWatches()
}

func (s *Store) expire() {
	for id, l := range s.leases {
		if time.Now().Before(l.end) {
			continue
		}
		s.revoke(id)
	}
}

func (s *Store) revoke(id uint64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.remove(key)
		}
	}
}

// guard counts the calls of a handler and applies the fault that is set for the client.
// The handler locks the store itself; it returns the status code and the response.
func (s *Store) guard(name string, write bool, h func(r *http.Request) (int, any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		// Only after the body is read does the server detect that the client has disconnected.
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		s.mu.Lock()
		s.calls[name]++
		f := s.faultOf(r)
		s.mu.Unlock()
		if f.Hang {
			<-r.Context().Done()
			return
		}
		if f.RefuseStatus != 0 {
			w.Header().Set(eraHeader, strconv.FormatUint(s.eraNow(), 10))
			w.WriteHeader(f.RefuseStatus)
			return
		}
		select {
		case <-time.After(f.Delay):
		case <-r.Context().Done():
			return
		}
		era := s.eraNow()
		status, response := h(r)
		if write && f.LoseResponses || s.eraNow() != era {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set(eraHeader, strconv.FormatUint(era, 10))
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		if response != nil {
			json.NewEncoder(w).Encode(response)
		}
	}
}

func (s *Store) faultOf(r *http.Request) Fault {
	if e := endpointOf(r); e != nil && e.fault != (Fault{}) {
		return e.fault
	}
	a, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return Fault{}
	}
	return s.fault(a.Addr())
}

// key returns the item of one key.
func (s *Store) key(r *http.Request) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		return http.StatusNotFound, nil
	}
	i.StoreRev = s.revision
	return http.StatusOK, i
}

// list returns a page of the keys with a prefix that sort after a given key.
func (s *Store) list(r *http.Request) (int, any) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	const page = 50
	if strings.HasPrefix(prefix, operatorPrefix) {
		s.mu.Lock()
		s.calls["range of orders"]++
		s.mu.Unlock()
	}
	items := []item{}
	more := false
	for _, key := range s.Keys(prefix) {
		if key <= after && after != "" {
			continue
		}
		if len(items) == page {
			more = true
			break
		}
		s.mu.Lock()
		i := s.items[key]
		s.mu.Unlock()
		if e := endpointOf(r); e != nil && e.Translate != nil {
			i.Key, i.Value = string(e.Translate([]byte(i.Key))), e.Translate(i.Value)
		}
		items = append(items, i)
	}
	return http.StatusOK, map[string]any{"items": items, "hasMore": more, "storeRevision": s.revisionNow()}
}

func (s *Store) eraNow() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

func (s *Store) revisionNow() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// watch returns the changes of keys with a prefix since a revision. It waits for the first
// one, at most for the time that the client gives.
func (s *Store) watch(r *http.Request) (int, any) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		s.expire()
		events, compacted := s.eventsSince(q.Get("prefix"), after)
		changed, revision, f := s.changed, s.revision, s.faultOf(r)
		s.mu.Unlock()
		switch {
		case f.RefuseStatus != 0:
			return f.RefuseStatus, nil
		case f.StopWatches:
		case compacted:
			return http.StatusGone, nil
		case len(events) > 0:
			return http.StatusOK, map[string]any{"events": events, "storeRevision": revision}
		}
		select {
		case <-changed:
		case <-end:
			return http.StatusOK, map[string]any{"events": []item{}, "storeRevision": revision}
		case <-r.Context().Done():
			return http.StatusServiceUnavailable, nil
		}
	}
}

// eventsSince returns the changes of keys with the prefix after a revision. compacted is true
// if the history does not reach back to that revision, or the store has not reached it.
func (s *Store) eventsSince(prefix string, after uint64) (events []item, compacted bool) {
	if after < s.oldest || after > s.revision {
		return nil, true
	}
	for _, i := range s.history {
		if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
			events = append(events, i)
		}
	}
	return events, false
}

// txn writes and removes keys in one transaction, if each expected key has its expected
// revision.
func (s *Store) txn(r *http.Request) (int, any) {
	var t struct {
		Expected []struct {
			Key      string
			Revision uint64
		}
		Puts []struct {
			Key   string
			Value []byte
			Lease uint64
		}
		Remove []string
	}
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		return http.StatusBadRequest, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	for _, e := range t.Expected {
		if s.items[e.Key].Revision != e.Revision {
			return http.StatusPreconditionFailed, map[string]any{"items": []item{s.items[e.Key]}}
		}
	}
	for _, p := range t.Puts {
		if strings.HasPrefix(p.Key, operatorPrefix) {
			return http.StatusForbidden, nil
		}
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return http.StatusNotFound, nil
		}
	}
	for _, p := range t.Puts {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Remove {
		s.remove(key)
	}
	return http.StatusOK, map[string]any{"revision": s.revision}
}

func (s *Store) grant(r *http.Request) (int, any) {
	var b struct{ TTLMs int64 }
	if json.NewDecoder(r.Body).Decode(&b) != nil {
		return http.StatusBadRequest, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	ttl := time.Duration(b.TTLMs) * time.Millisecond
	s.leases[s.revision] = &lease{ttl: ttl, end: time.Now().Add(ttl)}
	return http.StatusOK, map[string]any{"lease": s.revision, "ttlMs": b.TTLMs}
}

func (s *Store) keepAlive(r *http.Request) (int, any) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	l := s.leases[id]
	if l == nil {
		return http.StatusNotFound, nil
	}
	l.end = time.Now().Add(l.ttl)
	return http.StatusOK, map[string]any{"ttlMs": l.ttl.Milliseconds()}
}

func (s *Store) endLease(r *http.Request) (int, any) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revoke(id)
	return http.StatusOK, map[string]any{}
}
