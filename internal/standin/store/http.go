package store

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"golang.org/x/time/rate"

	"github.com/hemlockscale/hemlockscale/internal/store"
)

// Paths to control the stand-in, which the platform does not have.
const (
	PathCalls  = "/standin/calls"  // GET: Calls as JSON
	PathFaults = "/standin/faults" // POST: Faults as JSON
)

// bodyLimit is the maximum size of a request body in bytes: a value of store.MaxValue
// bytes in base64 and the JSON around it.
const bodyLimit = 2 * store.MaxValue

var statusOf = map[string]int{
	store.CodeNotFound:     http.StatusNotFound,
	store.CodeConflict:     http.StatusConflict,
	store.CodeLeaseExpired: http.StatusGone,
	store.CodeTooLarge:     http.StatusRequestEntityTooLarge,
	store.CodeTimeout:      http.StatusRequestTimeout,
	store.CodeNotRun:       http.StatusServiceUnavailable,
	store.CodeInvalid:      http.StatusBadRequest,
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func writeError(w http.ResponseWriter, e *store.ErrorBody) {
	writeJSON(w, statusOf[e.Code], e)
}

// admit counts a call, applies the faults that precede its effect, and
// reports whether the call may run.
func (s *Server) admit(w http.ResponseWriter, r *http.Request, limit *rate.Limiter, count func(*Calls)) bool {
	s.mu.Lock()
	count(&s.calls)
	faults := s.faults
	s.mu.Unlock()
	if faults.Delay > 0 && !sleep(r.Context(), faults.Delay) {
		return false
	}
	if faults.Outage {
		writeError(w, &store.ErrorBody{Code: store.CodeNotRun, Detail: "outage"})
		return false
	}
	if limit.Allow() {
		return true
	}
	s.mu.Lock()
	s.calls.Limited++
	s.mu.Unlock()
	w.Header().Set("Retry-After", "1")
	writeJSON(w, http.StatusTooManyRequests, &store.ErrorBody{Code: store.CodeNotRun, Detail: "over the rate"})
	return false
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func decode(w http.ResponseWriter, r *http.Request, body any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, bodyLimit)).Decode(body)
	if err != nil {
		writeError(w, &store.ErrorBody{Code: store.CodeInvalid, Detail: err.Error()})
	}
	return err == nil
}

// loseResponse decides at random whether the response to a write that took effect is
// lost, and in that case closes the connection.
func (s *Server) loseResponse(w http.ResponseWriter) bool {
	s.mu.Lock()
	lose := s.faults.LoseResponse > 0 && s.rng.Float64() < s.faults.LoseResponse
	s.mu.Unlock()
	if !lose {
		return false
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = conn.Close()
	}
	return true
}

func (s *Server) handleGet(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, r, s.reads, func(c *Calls) { c.Reads++ }) {
		return
	}
	s.mu.Lock()
	s.expire(time.Now())
	rec, ok := s.values[r.URL.Query().Get(store.ParamKey)]
	s.mu.Unlock()
	if !ok {
		writeError(w, &store.ErrorBody{Code: store.CodeNotFound})
		return
	}
	writeJSON(w, http.StatusOK, store.ValueBody{Data: rec.Data, Version: rec.Version})
}

func (s *Server) handleSwap(w http.ResponseWriter, r *http.Request) {
	var body store.SwapBody
	if !decode(w, r, &body) || !s.admit(w, r, s.writes, func(c *Calls) { c.Writes++ }) {
		return
	}
	s.mu.Lock()
	version, refused := s.swap(time.Now(), body)
	s.mu.Unlock()
	switch {
	case refused != nil:
		writeError(w, refused)
	case !s.loseResponse(w):
		writeJSON(w, http.StatusOK, store.VersionBody{Version: version})
	}
}

func (s *Server) handleDelete(w http.ResponseWriter, r *http.Request) {
	var body store.SwapBody
	if !decode(w, r, &body) || !s.admit(w, r, s.writes, func(c *Calls) { c.Writes++ }) {
		return
	}
	s.mu.Lock()
	refused := s.delete(time.Now(), body)
	s.mu.Unlock()
	switch {
	case refused != nil:
		writeError(w, refused)
	case !s.loseResponse(w):
		writeJSON(w, http.StatusOK, struct{}{})
	}
}

func (s *Server) handleGrant(w http.ResponseWriter, r *http.Request) {
	var body store.LeaseBody
	if !decode(w, r, &body) || !s.admit(w, r, s.writes, func(c *Calls) { c.Leases++ }) {
		return
	}
	if body.TTL <= 0 {
		writeError(w, &store.ErrorBody{Code: store.CodeInvalid, Detail: "ttl_ms must be above 0"})
		return
	}
	s.mu.Lock()
	id := s.grant(time.Now(), time.Duration(body.TTL)*time.Millisecond)
	s.mu.Unlock()
	if !s.loseResponse(w) {
		writeJSON(w, http.StatusOK, store.LeaseBody{Lease: id, TTL: body.TTL})
	}
}

func (s *Server) handleRenew(w http.ResponseWriter, r *http.Request) {
	var body store.LeaseBody
	if !decode(w, r, &body) || !s.admit(w, r, s.writes, func(c *Calls) { c.Leases++ }) {
		return
	}
	s.mu.Lock()
	ok := s.renew(time.Now(), body.Lease)
	s.mu.Unlock()
	switch {
	case !ok:
		writeError(w, &store.ErrorBody{Code: store.CodeLeaseExpired})
	case !s.loseResponse(w):
		writeJSON(w, http.StatusOK, struct{}{})
	}
}

func (s *Server) handleWatch(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, r, s.reads, func(c *Calls) { c.Watches++ }) {
		return
	}
	after, err := strconv.ParseUint(r.URL.Query().Get(store.ParamAfter), 10, 64)
	if err != nil {
		writeError(w, &store.ErrorBody{Code: store.CodeInvalid, Detail: "after: " + err.Error()})
		return
	}
	v, refused := s.watch(r.Context(), r.URL.Query().Get(store.ParamKey), after)
	if refused != nil {
		writeError(w, refused)
		return
	}
	writeJSON(w, http.StatusOK, store.ValueBody(v))
}

// watch waits until the value has a version above after, the server's maximum wait is
// over, or the value's lease ends.
func (s *Server) watch(ctx context.Context, key string, after uint64) (store.Value, *store.ErrorBody) {
	end := time.Now().Add(s.cfg.WatchWait)
	for {
		s.mu.Lock()
		now := time.Now()
		s.expire(now)
		rec, ok := s.values[key]
		wait := end.Sub(now)
		if l, leased := s.leases[rec.lease]; leased {
			wait = min(wait, l.end.Sub(now))
		}
		changed, stopped := s.changed, s.faults.StopWatches
		s.mu.Unlock()
		switch {
		case stopped:
			<-ctx.Done()
			return store.Value{}, &store.ErrorBody{Code: store.CodeNotRun, Detail: "watch stopped"}
		case ok && rec.Version > after:
			return rec.Value, nil
		case !ok && after > 0:
			return store.Value{}, &store.ErrorBody{Code: store.CodeNotFound}
		case !now.Before(end):
			return store.Value{}, &store.ErrorBody{Code: store.CodeTimeout}
		}
		waitChange(ctx, changed, wait)
		if ctx.Err() != nil {
			return store.Value{}, &store.ErrorBody{Code: store.CodeNotRun, Detail: "caller left"}
		}
	}
}

func waitChange(ctx context.Context, changed <-chan struct{}, wait time.Duration) {
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	case <-ctx.Done():
	}
}

func (s *Server) handleCalls(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Calls())
}

func (s *Server) handleFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if decode(w, r, &f) {
		s.SetFaults(f)
		writeJSON(w, http.StatusOK, f)
	}
}
