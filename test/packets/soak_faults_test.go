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

// during runs f for a VM that no other fault is at work on.
func (s *soaker) during(list []*vm, f func(v *vm)) {
	v := list[s.rng.IntN(len(list))]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open[v] {
		return
	}
	s.restartIfEnded(v)
	s.open[v] = true
	s.wg.Go(func() {
		f(v)
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.open, v)
	})
}

func (s *soaker) pause(least, span time.Duration) time.Duration {
	return least + time.Duration(s.rng.Int64N(int64(span)))
}

func (s *soaker) killBalancer() {
	down := s.pause(50*time.Millisecond, time.Second)
	s.during(s.balancers, func(v *vm) {
		v.process.Kill()
		time.Sleep(down)
		v.startProcess()
	})
}

func (s *soaker) rollBalancer() {
	s.during(s.balancers, func(v *vm) {
		v.process.Terminate()
		v.process.Terminate()
		if err := v.process.Wait(limit); err != nil {
			s.t.Errorf("balancer after SIGTERM: %v", err)
		}
		v.startProcess()
	})
}

func (s *soaker) freezeBalancer() {
	d := s.pause(100*time.Millisecond, 2*time.Second)
	s.during(s.balancers, func(v *vm) {
		v.process.Freeze()
		time.Sleep(d)
		v.process.Resume()
	})
}

func (s *soaker) hangup() {
	v := s.all()[s.rng.IntN(len(s.balancers)+len(s.agents))]
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.open[v] {
		v.process.Hangup()
	}
}

func (s *soaker) killAgent() {
	down := s.pause(20*time.Millisecond, 500*time.Millisecond)
	s.during(s.agents, func(v *vm) {
		v.process.Kill()
		time.Sleep(down)
		v.startProcess()
	})
}

func (s *soaker) freezeAgent() {
	d := s.pause(100*time.Millisecond, 1500*time.Millisecond)
	s.during(s.agents, func(v *vm) {
		v.process.Freeze()
		time.Sleep(d)
		v.process.Resume()
	})
}

func (s *soaker) crashServer() {
	down := s.pause(100*time.Millisecond, 1500*time.Millisecond)
	s.during(s.agents, func(v *vm) {
		v.server.Crash()
		time.Sleep(down)
		v.startServer()
	})
}

// replaceServer drains a server and gives its VM a new one, at times of the
// other service.
func (s *soaker) replaceServer() {
	other := s.rng.IntN(3) == 0
	s.during(s.agents, func(v *vm) {
		v.server.Drain()
		s.await("the drain is acknowledged", v.server.Drained)
		time.Sleep(1500 * time.Millisecond)
		v.server.Deregister()
		v.process.Terminate()
		if err := v.process.Wait(limit); err != nil {
			s.t.Errorf("agent after SIGTERM: %v", err)
		}
		if other && s.count(v.service) > 1 {
			v.service = map[string]string{"listing": "records", "records": "listing"}[v.service]
		}
		v.startProcess()
		v.startServer()
	})
}

func (s *soaker) count(service string) (n int) {
	for _, v := range s.agents {
		if v.service == service {
			n++
		}
	}
	return n
}

func (s *soaker) storeFault() {
	f := []platform.Fault{
		{RefuseStatus: http.StatusServiceUnavailable}, {RefuseStatus: http.StatusTooManyRequests}, {Hang: true}, {LoseAnswers: true}, {StopWatches: true},
		{Delay: 300 * time.Millisecond},
	}[s.rng.IntN(6)]
	d := s.pause(200*time.Millisecond, 2*time.Second)
	s.store.SetFault(func(netip.Addr) platform.Fault { return f })
	s.wg.Go(func() {
		time.Sleep(d)
		s.store.SetFault(func(netip.Addr) platform.Fault { return platform.Fault{} })
	})
}

// storeTurnsAway has the store serve all processes but one.
func (s *soaker) storeTurnsAway() {
	f := []platform.Fault{{RefuseStatus: http.StatusServiceUnavailable}, {Hang: true}, {StopWatches: true}}[s.rng.IntN(3)]
	d := s.pause(500*time.Millisecond, 3*time.Second)
	v := s.all()[s.rng.IntN(len(s.proxies))]
	v.endpoint.SetFault(f)
	s.wg.Go(func() {
		time.Sleep(d)
		v.endpoint.SetFault(platform.Fault{})
	})
}

// wireFault is what is wrong between two VMs.
func (s *soaker) wireFault(from, to netip.Addr) platform.NetworkFault {
	s.mu.Lock()
	defer s.mu.Unlock()
	for v, f := range s.wires {
		if v.addr == to || f.both && v.addr == from {
			return f.NetworkFault
		}
	}
	return platform.NetworkFault{}
}

// badWire loses, doubles and delays what one VM is sent.
func (s *soaker) badWire() {
	f := []platform.NetworkFault{
		{Loss: 0.1}, {Duplicate: 0.5}, {Jitter: 40 * time.Millisecond}, {Delay: 60 * time.Millisecond, Loss: 0.02},
	}[s.rng.IntN(4)]
	s.disturb(s.pause(300*time.Millisecond, 2*time.Second), wireTrouble{NetworkFault: f})
}

// cutWire cuts a VM off from all others, or only from what they send to it.
func (s *soaker) cutWire() {
	f := wireTrouble{NetworkFault: platform.NetworkFault{Cut: true}, both: s.rng.IntN(2) == 0}
	s.disturb(s.pause(200*time.Millisecond, 2500*time.Millisecond), f)
}

// disturb puts a fault on the way to a VM for a while.
func (s *soaker) disturb(d time.Duration, f wireTrouble) {
	v := s.all()[s.rng.IntN(len(s.proxies))]
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, there := s.wires[v]; there {
		return
	}
	s.wires[v] = f
	s.wg.Go(func() {
		time.Sleep(d)
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.wires, v)
	})
}

// linkFault silences, delays or resets connections to the store: of all processes,
// or of one if faults of single processes are drawn.
func (s *soaker) linkFault() {
	name := fmt.Sprint("fault", s.rng.Uint64())
	stream := [...]string{"upstream", "downstream"}[s.rng.IntN(2)]
	toxic := []string{
		`{"name":%q,"type":"timeout","stream":%q,"attributes":{"timeout":0}}`,
		`{"name":%q,"type":"latency","stream":%q,"attributes":{"latency":300,"jitter":200}}`,
		`{"name":%q,"type":"reset_peer","stream":%q,"attributes":{"timeout":10}}`,
	}[s.rng.IntN(3)]
	d := s.pause(200*time.Millisecond, 1500*time.Millisecond)
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

// restoreStore takes a copy of the store, or has it be away and come back from the one
// taken before; the operator writes again what it had written, late enough for processes to
// start before it has.
func (s *soaker) restoreStore() {
	away, rewriteAfter := s.pause(50*time.Millisecond, time.Second), s.pause(0, 3*time.Second)
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.copied
	if c == nil {
		s.copied = s.store.Backup()
		return
	}
	s.copied = nil
	s.store.SetFault(func(netip.Addr) platform.Fault { return platform.Fault{RefuseStatus: http.StatusServiceUnavailable} })
	s.wg.Go(func() {
		time.Sleep(away)
		rewrite := s.store.Restore(c)
		s.store.SetFault(func(netip.Addr) platform.Fault { return platform.Fault{} })
		time.Sleep(rewriteAfter)
		rewrite()
	})
}

func (s *soaker) takeKeys() { s.store.Remove("hemlock/nodes/") }

func (s *soaker) compact() { s.store.Compact() }

// changeConfig adds or removes a route that no caller uses.
func (s *soaker) changeConfig() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, there := s.routes["198.18.9.9"]; there {
		delete(s.routes, "198.18.9.9")
	} else {
		s.routes["198.18.9.9"] = "listing"
	}
	s.configure()
}

const (
	// soakLink is what the link of a balancer carries in a thinSoak, in bytes a second.
	soakLink = 1_000_000
	// soakRoutes bounds the routes of its configuration that no caller uses.
	soakRoutes = 5000
)

// resizeConfig makes the configuration longer or shorter by thousands of routes.
func (s *soaker) resizeConfig() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.idle = s.rng.IntN(soakRoutes)
	s.configure()
}
