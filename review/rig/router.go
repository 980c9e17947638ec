package rig

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

const (
	probeInterval   = 500 * time.Millisecond
	maxFailedProbes = 2
)

// Router simulates the platform's routers with the hash "steady": a balancer that leaves the
// rotation moves its own flows only.
type Router struct {
	packets, readiness []netip.AddrPort // by balancer
	stop               chan struct{}
	done               sync.WaitGroup

	mu     sync.Mutex
	failed []int // by balancer: consecutive failed probes
}

func newRouter(packets, readiness []netip.AddrPort) *Router {
	r := &Router{packets: packets, readiness: readiness, failed: make([]int, len(packets)), stop: make(chan struct{})}
	for i := range readiness {
		r.failed[i] = maxFailedProbes
		r.done.Go(func() { r.probe(i) })
	}
	return r
}

func (r *Router) close() {
	close(r.stop)
	r.done.Wait()
}

func (r *Router) probe(i int) {
	c := http.Client{Timeout: probeInterval, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		resp, err := c.Get(fmt.Sprintf("http://%s/api/readiness", r.readiness[i]))
		ready := err == nil && resp.StatusCode == http.StatusOK
		if err == nil {
			resp.Body.Close()
		}
		r.mu.Lock()
		r.failed[i]++
		if ready {
			r.failed[i] = 0
		}
		r.mu.Unlock()
		select {
		case <-time.After(probeInterval):
		case <-r.stop:
			return
		}
	}
}

// inRotation returns the number of balancers that get packets.
func (r *Router) inRotation() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, f := range r.failed {
		if f < maxFailedProbes {
			n++
		}
	}
	return n
}

// pick returns the balancer of a flow. If fewer than half are in rotation, all are used.
func (r *Router) pick(k flowKey) netip.AddrPort {
	all := 2*r.inRotation() < len(r.packets)
	r.mu.Lock()
	defer r.mu.Unlock()
	var best netip.AddrPort
	var bestScore uint64
	for i, b := range r.packets {
		if r.failed[i] >= maxFailedProbes && !all {
			continue
		}
		h := fnv.New64a()
		fmt.Fprint(h, k.consumer, k.service, b)
		if score := h.Sum64(); !best.IsValid() || score > bestScore {
			best, bestScore = b, score
		}
	}
	return best
}
