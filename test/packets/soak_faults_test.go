package packets

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/hemlockscale/hemlockscale/internal/standin/platform"
)

// runFault runs f in the background for a random VM of list, unless another fault of that VM is
// in progress.
func (s *soaker) runFault(list []*vm, f func(v *vm)) {
	v := list[s.rng.IntN(len(list))]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faulty[v] {
		return
	}
	s.restartIfEnded(v)
	s.faulty[v] = true
	s.wg.Go(func() {
		f(v)
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.faulty, v)
	})
}

// randomDuration returns a duration of at least least and less than least+span.
func (s *soaker) randomDuration(least, span time.Duration) time.Duration {
	return least + time.Duration(s.rng.Int64N(int64(span)))
}

func (s *soaker) killBalancer() {
	down := s.randomDuration(50*time.Millisecond, time.Second)
	s.runFault(s.balancers, func(v *vm) {
		v.process.Kill()
		time.Sleep(down)
		v.startProcess()
	})
}

// restartBalancer stops a balancer with two SIGTERMs, of which it must ignore the second, and
// starts it again.
func (s *soaker) restartBalancer() {
	s.runFault(s.balancers, func(v *vm) {
		v.process.Terminate()
		v.process.Terminate()
		if err := v.process.Wait(waitLimit); err != nil {
			s.t.Errorf("balancer after SIGTERM: %v", err)
		}
		v.startProcess()
	})
}

func (s *soaker) freezeBalancer() {
	d := s.randomDuration(100*time.Millisecond, 2*time.Second)
	s.runFault(s.balancers, func(v *vm) {
		v.process.Freeze()
		time.Sleep(d)
		v.process.Resume()
	})
}

func (s *soaker) sendHangup() {
	v := s.all()[s.rng.IntN(len(s.balancers)+len(s.agents))]
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.faulty[v] {
		v.process.Hangup()
	}
}

func (s *soaker) killAgent() {
	down := s.randomDuration(20*time.Millisecond, 500*time.Millisecond)
	s.runFault(s.agents, func(v *vm) {
		v.process.Kill()
		time.Sleep(down)
		v.startProcess()
	})
}

func (s *soaker) freezeAgent() {
	d := s.randomDuration(100*time.Millisecond, 1500*time.Millisecond)
	s.runFault(s.agents, func(v *vm) {
		v.process.Freeze()
		time.Sleep(d)
		v.process.Resume()
	})
}

func (s *soaker) crashServer() {
	down := s.randomDuration(100*time.Millisecond, 1500*time.Millisecond)
	s.runFault(s.agents, func(v *vm) {
		v.server.Crash()
		time.Sleep(down)
		v.startServer()
	})
}

// replaceServer drains a server and replaces it and its agent on the same VM, in one of three
// cases by ones of the other service.
func (s *soaker) replaceServer() {
	other := s.rng.IntN(3) == 0
	s.runFault(s.agents, func(v *vm) {
		v.server.Drain()
		s.await("the drain is acknowledged", v.server.Drained)
		time.Sleep(1500 * time.Millisecond)
		v.server.Deregister()
		v.process.Terminate()
		if err := v.process.Wait(waitLimit); err != nil {
			s.t.Errorf("agent after SIGTERM: %v", err)
		}
		if other && s.count(v.service) > 1 {
			v.service = map[string]string{"listing": "records", "records": "listing"}[v.service]
		}
		v.startProcess()
		v.startServer()
	})
}

// count returns the number of agents of a service.
func (s *soaker) count(service string) (n int) {
	for _, v := range s.agents {
		if v.service == service {
			n++
		}
	}
	return n
}

// storeFault injects a store fault that applies to all processes.
func (s *soaker) storeFault() {
	f := []platform.Fault{
		{RefuseStatus: http.StatusServiceUnavailable}, {RefuseStatus: http.StatusTooManyRequests}, {Hang: true}, {LoseResponses: true}, {StopWatches: true},
		{Delay: 300 * time.Millisecond},
	}[s.rng.IntN(6)]
	d := s.randomDuration(200*time.Millisecond, 2*time.Second)
	s.store.SetFault(func(netip.Addr) platform.Fault { return f })
	s.wg.Go(func() {
		time.Sleep(d)
		s.store.SetFault(func(netip.Addr) platform.Fault { return platform.Fault{} })
	})
}

// faultOneEndpoint injects a store fault that applies to one process only.
func (s *soaker) faultOneEndpoint() {
	f := []platform.Fault{{RefuseStatus: http.StatusServiceUnavailable}, {Hang: true}, {StopWatches: true}}[s.rng.IntN(3)]
	d := s.randomDuration(500*time.Millisecond, 3*time.Second)
	v := s.all()[s.rng.IntN(len(s.proxies))]
	v.endpoint.SetFault(f)
	s.wg.Go(func() {
		time.Sleep(d)
		v.endpoint.SetFault(platform.Fault{})
	})
}

// networkFault returns the fault of datagrams from one VM to another.
func (s *soaker) networkFault(from, to netip.Addr) platform.NetworkFault {
	s.mu.Lock()
	defer s.mu.Unlock()
	for v, f := range s.networkFaults {
		if v.addr == to || f.both && v.addr == from {
			return f.NetworkFault
		}
	}
	return platform.NetworkFault{}
}

// degradeNetwork loses, duplicates, reorders or delays the datagrams to one VM.
func (s *soaker) degradeNetwork() {
	f := []platform.NetworkFault{
		{Loss: 0.1}, {Duplicate: 0.5}, {Jitter: 40 * time.Millisecond}, {Delay: 60 * time.Millisecond, Loss: 0.02},
	}[s.rng.IntN(4)]
	s.setNetworkFault(s.randomDuration(300*time.Millisecond, 2*time.Second), vmNetworkFault{NetworkFault: f})
}

// cutOffVM drops all datagrams to a VM, and in one of two cases all datagrams from it.
func (s *soaker) cutOffVM() {
	f := vmNetworkFault{NetworkFault: platform.NetworkFault{Cut: true}, both: s.rng.IntN(2) == 0}
	s.setNetworkFault(s.randomDuration(200*time.Millisecond, 2500*time.Millisecond), f)
}

// setNetworkFault applies a fault to a random VM for d, unless that VM has one.
func (s *soaker) setNetworkFault(d time.Duration, f vmNetworkFault) {
	v := s.all()[s.rng.IntN(len(s.proxies))]
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.networkFaults[v]; ok {
		return
	}
	s.networkFaults[v] = f
	s.wg.Go(func() {
		time.Sleep(d)
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.networkFaults, v)
	})
}

// linkFault stalls, delays or resets connections to the store: those of all processes in a
// directSoak, those of one process in all others.
func (s *soaker) linkFault() {
	name := fmt.Sprint("fault", s.rng.Uint64())
	stream := [...]string{"upstream", "downstream"}[s.rng.IntN(2)]
	toxic := []string{
		`{"name":%q,"type":"timeout","stream":%q,"attributes":{"timeout":0}}`,
		`{"name":%q,"type":"latency","stream":%q,"attributes":{"latency":300,"jitter":200}}`,
		`{"name":%q,"type":"reset_peer","stream":%q,"attributes":{"timeout":10}}`,
	}[s.rng.IntN(3)]
	d := s.randomDuration(200*time.Millisecond, 1500*time.Millisecond)
	at := s.all()
	if s.kind != directSoak {
		n := s.rng.IntN(len(at))
		at = at[n : n+1]
	}
	for _, v := range at {
		if _, err := s.proxies[v].Toxics.AddToxicJson(strings.NewReader(fmt.Sprintf(toxic, name, stream))); err != nil {
			s.t.Fatal(err)
		}
	}
	s.wg.Go(func() {
		time.Sleep(d)
		for _, v := range at {
			if err := s.proxies[v].Toxics.RemoveToxic(context.Background(), name); err != nil {
				s.t.Error(err)
			}
		}
	})
}

// restoreStore takes a copy of the store or, if there is one, makes the store unavailable and
// restores it from that copy. The operator then rewrites its keys, after a delay in which
// processes may start.
func (s *soaker) restoreStore() {
	outage, rewriteAfter := s.randomDuration(50*time.Millisecond, time.Second), s.randomDuration(0, 3*time.Second)
	s.mu.Lock()
	defer s.mu.Unlock()
	backup := s.storeCopy
	if backup == nil {
		s.storeCopy = s.store.Backup()
		return
	}
	s.storeCopy = nil
	s.store.SetFault(func(netip.Addr) platform.Fault { return platform.Fault{RefuseStatus: http.StatusServiceUnavailable} })
	s.wg.Go(func() {
		time.Sleep(outage)
		rewrite := s.store.Restore(backup)
		s.store.SetFault(func(netip.Addr) platform.Fault { return platform.Fault{} })
		time.Sleep(rewriteAfter)
		rewrite()
	})
}

// removeProcessKeys removes the keys of all processes from the store.
func (s *soaker) removeProcessKeys() { s.store.Remove("hemlock/nodes/") }

func (s *soaker) compactHistory() { s.store.Compact() }

// changeConfig adds or removes a route that no caller uses.
func (s *soaker) changeConfig() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.routes["198.18.9.9"]; ok {
		delete(s.routes, "198.18.9.9")
	} else {
		s.routes["198.18.9.9"] = "listing"
	}
	s.configure()
}

const (
	// soakLinkBytesPerS is the rate of a balancer's link in a slowLinkSoak.
	soakLinkBytesPerS = 1_000_000
	// soakMaxUnusedRoutes bounds the number of unused routes in a slowLinkSoak.
	soakMaxUnusedRoutes = 5000
)

// resizeConfig changes the number of unused routes in the configuration by up to thousands.
func (s *soaker) resizeConfig() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unusedRoutes = s.rng.IntN(soakMaxUnusedRoutes)
	s.configure()
}
