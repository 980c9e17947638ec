package node

import (
	"context"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/hemlockscale/hemlockscale/internal/store"
)

const validPeer = `{"role":"agent","addr":"10.1.0.22:8492","zone":"qro-a","service":"huvo11a"}`

func TestPeerIsRead(t *testing.T) {
	p, err := parsePeer(PeersPrefix+"agent/10.1.0.22:8492", []byte(validPeer))
	if err != nil || p.Role != RoleAgent || p.Service != "huvo11a" {
		t.Errorf("registration decoded as %+v, %v", p, err)
	}
}

// Guards against a panic, or lookups sent to an address that is no agent's, when another
// program writes under the prefix of the processes' keys and its data decodes as a Peer.
func TestKeysOfOtherWriters(t *testing.T) {
	for _, c := range []struct{ name, key, data string }{
		{"no JSON", "agent/10.1.0.22:8492", `?`},
		{"empty", "agent/10.1.0.22:8492", `{}`},
		{"a list", "agent/10.1.0.22:8492", `[]`},
		{"unknown role", "agent/10.1.0.22:8492", strings.Replace(validPeer, `"agent"`, `"clerk"`, 1)},
		{"role of another type", "agent/10.1.0.22:8492", strings.Replace(validPeer, `"agent"`, `7`, 1)},
		{"no address", "agent/10.1.0.22:8492", strings.Replace(validPeer, `10.1.0.22:8492`, ``, 1)},
		{"no port", "agent/10.1.0.22:0", strings.Replace(validPeer, `:8492`, `:0`, 1)},
		{"IPv6", "agent/[::1]:8492", strings.Replace(validPeer, `10.1.0.22`, `[::1]`, 1)},
		{"key of another address", "agent/10.1.0.23:8492", validPeer},
		{"key of another role", "balancer/10.1.0.22:8492", validPeer},
		{"key without a role", "10.1.0.22:8492", validPeer},
		{"no service", "agent/10.1.0.22:8492", strings.Replace(validPeer, `huvo11a`, ``, 1)},
		{"no zone", "agent/10.1.0.22:8492", strings.Replace(validPeer, `qro-a`, ``, 1)},
	} {
		t.Run(c.name, func(t *testing.T) {
			if p, err := parsePeer(PeersPrefix+c.key, []byte(c.data)); err == nil {
				t.Errorf("invalid registration accepted as %+v", p)
			}
		})
	}
}

// Checks that every key that parsePeer accepts is the registration of a reachable process.
func FuzzPeer(f *testing.F) {
	f.Add("agent/10.1.0.22:8492", []byte(validPeer))
	f.Add("", []byte(`{}`))
	f.Fuzz(func(t *testing.T, key string, data []byte) {
		p, err := parsePeer(PeersPrefix+key, data)
		if err != nil {
			return
		}
		if !p.Addr.Addr().Is4() || p.Addr.Port() == 0 || p.key() != PeersPrefix+key {
			t.Errorf("key accepted as %+v, which is not reachable or of another key", p)
		}
	})
}

// keyStore is an in-memory store that counts its calls.
type keyStore struct {
	Store // nil: unexpected calls panic
	items map[string]store.Item
	lease int
	calls map[string]int
	// duringList, if not nil, is called once, before the call of List with number fromList or
	// a later one returns.
	duringList func()
	fromList   int
}

func newKeyStore() *keyStore {
	return &keyStore{items: map[string]store.Item{}, calls: map[string]int{}}
}

func (s *keyStore) Grant(context.Context, time.Duration) (store.LeaseID, error) {
	s.calls["grant"]++
	s.lease++
	return store.LeaseID(strconv.Itoa(s.lease)), nil
}

func (s *keyStore) Put(_ context.Context, key string, data []byte, lease store.LeaseID) error {
	s.calls["put"]++
	s.items[key] = store.Item{Key: key, Value: store.Value{Data: data}, Lease: lease}
	return nil
}

func (s *keyStore) Renew(_ context.Context, lease store.LeaseID) error {
	s.calls["renew"]++
	for _, item := range s.items {
		if item.Lease == lease {
			return nil
		}
	}
	return &store.LeaseExpiredError{Lease: lease}
}

func (s *keyStore) List(_ context.Context, prefix string, _ bool) ([]store.Item, error) {
	s.calls["list"]++
	defer func() {
		if f := s.duringList; f != nil && s.calls["list"] >= s.fromList {
			s.duringList = nil
			f()
		}
	}()
	var items []store.Item
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) {
			items = append(items, item)
		}
	}
	return items, nil
}

// newRegistrar returns the registrar of a process that starts, and the peers that it finds.
func newRegistrar(s *keyStore, self Peer) (*Registrar, *[]Peer) {
	found := new([]Peer)
	return &Registrar{
		Self: self, Store: s, PeersListed: func(p []Peer) { *found = p },
		InvalidKeys: prometheus.NewCounter(prometheus.CounterOpts{Name: "wrong"}), Log: zap.NewNop(),
	}, found
}

var (
	agentPeer    = Peer{Role: RoleAgent, Addr: netip.MustParseAddrPort("10.1.0.22:8492"), Zone: "qro-a", Service: "huvo11a"}
	balancerPeer = Peer{Role: RoleBalancer, Addr: netip.MustParseAddrPort("10.1.0.7:7720"), Zone: "qro-a"}
)

// Guards against an overload of the store after a power failure of all VMs. Each process
// restarts at its address without having deregistered, and its old key is still in the store.
// It must take over the key's lease instead of writing the key again under a new lease.
func TestLeaseOfEarlierProcessIsTakenOver(t *testing.T) {
	s := newKeyStore()
	for range 2 {
		r, _ := newRegistrar(s, agentPeer)
		if err := r.step(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	if s.calls["grant"] != 1 || s.calls["put"] != 1 || s.calls["renew"] != 1 {
		t.Errorf("calls %v, want one grant and one put by the first process, one renewal by the second", s.calls)
	}
	other := agentPeer
	other.Service = "another"
	r, _ := newRegistrar(s, other)
	if err := r.step(context.Background()); err != nil {
		t.Fatal(err)
	}
	if p, err := parsePeer(other.key(), s.items[other.key()].Data); err != nil || p != other {
		t.Errorf("key holds %+v, %v, want the process's current registration", p, err)
	}
}

// Guards against processes that do not know each other during an outage of the store that
// begins a second after they have started. A balancer and an agent start at the same moment
// and the store answers only their first calls, in any order. If both listed the other keys
// before they wrote their own, neither would find the other.
func TestOneOfTwoProcessesThatStartTogetherFindsTheOther(t *testing.T) {
	for _, order := range [][]Peer{{agentPeer, balancerPeer}, {balancerPeer, agentPeer}} {
		for at := range 6 {
			s := newKeyStore()
			first, foundByFirst := newRegistrar(s, order[0])
			second, foundBySecond := newRegistrar(s, order[1])
			for _, r := range []*Registrar{first, second} {
				if r.Self.Role == RoleAgent && at%2 > 0 {
					r.Instance, r.PreviousInstance = func() string { return "" }, func(string) {}
				}
			}
			s.fromList = at / 2
			s.duringList = func() {
				if err := second.step(context.Background()); err != nil {
					t.Error(err)
				}
			}
			if err := first.step(context.Background()); err != nil {
				t.Fatal(err)
			}
			if len(*foundByFirst)+len(*foundBySecond) == 0 {
				t.Errorf("%s first, list %d: neither found the other", order[0].Role, at)
			}
		}
	}
}

// Guards against a response whose store era is ignored. As soon as any response shows that the
// store was restored from an older copy, the process checks its own key and notifies the
// other processes.
func TestNewStoreEraInResponseIsReported(t *testing.T) {
	s := newKeyStore()
	r, _ := newRegistrar(s, agentPeer)
	var notified []uint64
	r.StoreRestored = func(version uint64) { notified = append(notified, version) }
	if err := r.step(context.Background()); err != nil {
		t.Fatal(err)
	}
	r.setLease(store.LeaseAt(0, 7))
	r.renewAt, r.listAt = time.Now().Add(time.Hour), time.Now()
	s.items[balancerPeer.key()] = store.Item{Key: balancerPeer.key(), Value: store.Value{Version: store.VersionAt(1, 5)}}
	s.items[agentPeer.key()] = store.Item{Key: agentPeer.key(), Value: store.Value{Version: store.VersionAt(0, 9)}}
	for range 2 {
		if err := r.step(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	if len(notified) != 1 || notified[0] != store.VersionAt(1, 0) {
		t.Errorf("StoreRestored called with %v, want the era's first version once", notified)
	}
	select {
	case <-r.leaseCheckDue():
	default:
		t.Error("no check of the process's own key is due after a new store era")
	}
}

// Guards against bytes read from the store that grow with the square of the fleet's size.
// Agents communicate only with balancers and must not list the keys of all processes.
func TestAgentsReadKeysOfBalancersOnly(t *testing.T) {
	s := newKeyStore()
	other := agentPeer
	other.Addr = netip.MustParseAddrPort("10.1.0.23:8492")
	for _, p := range []Peer{balancerPeer, other, agentPeer} {
		r, found := newRegistrar(s, p)
		if err := r.step(context.Background()); err != nil {
			t.Fatal(err)
		}
		if p == agentPeer && (len(*found) != 1 || (*found)[0] != balancerPeer) {
			t.Errorf("agent found %+v, want only the balancer", *found)
		}
	}
}

// Guards against callers of ended flows that wait until their deadlines after a power loss of a
// fleet whose servers send heartbeats several seconds apart. The agent can't tell a new server
// from one that holds flows, unless its predecessor has left the server's identity.
func TestServerIdentityIsLeftForLaterProcess(t *testing.T) {
	s := newKeyStore()
	balancer, _ := newRegistrar(s, balancerPeer)
	if err := balancer.step(context.Background()); err != nil {
		t.Fatal(err)
	}
	clear(s.calls)
	instance := ""
	start := func() (r *Registrar, previous *string) {
		r, _ = newRegistrar(s, agentPeer)
		r.Instance = func() string { return instance }
		r.PreviousInstance = func(p string) { previous = &p }
		if err := r.step(context.Background()); err != nil {
			t.Fatal(err)
		}
		return r, previous
	}
	first, previous := start()
	if previous == nil || *previous != "" {
		t.Fatalf("previous server %v before any agent had one", previous)
	}
	for _, instance = range []string{"i-1", "i-2"} {
		for range 2 {
			first.instanceFrom = time.Now()
			if err := first.step(context.Background()); err != nil {
				t.Fatal(err)
			}
		}
		if _, previous = start(); *previous != instance {
			t.Errorf("previous server %q, want %q", *previous, instance)
		}
	}
	if s.calls["grant"] != 1 || s.calls["put"] != 2 {
		t.Errorf("calls %v, want one grant and a put for each server", s.calls)
	}
}
