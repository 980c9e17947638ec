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

const soundPeer = `{"role":"agent","addr":"10.1.0.22:8492","zone":"qro-a","service":"huvo11a"}`

func TestPeerIsRead(t *testing.T) {
	p, err := parsePeer(PeersPrefix+"agent/10.1.0.22:8492", []byte(soundPeer))
	if err != nil || p.Role != RoleAgent || p.Service != "huvo11a" {
		t.Errorf("read %+v, %v", p, err)
	}
}

// Symptom: a process stops with a panic, or balancers ask an address that is no
// agent's for every flow that they look for.
// Sequence: some other program writes under the prefix of the processes' keys.
// Cause: whatever could be decoded was taken for a process.
func TestKeysOfOtherWriters(t *testing.T) {
	for _, c := range []struct{ name, key, data string }{
		{"no JSON", "agent/10.1.0.22:8492", `?`},
		{"empty", "agent/10.1.0.22:8492", `{}`},
		{"a list", "agent/10.1.0.22:8492", `[]`},
		{"unknown role", "agent/10.1.0.22:8492", strings.Replace(soundPeer, `"agent"`, `"clerk"`, 1)},
		{"role of another type", "agent/10.1.0.22:8492", strings.Replace(soundPeer, `"agent"`, `7`, 1)},
		{"no address", "agent/10.1.0.22:8492", strings.Replace(soundPeer, `10.1.0.22:8492`, ``, 1)},
		{"no port", "agent/10.1.0.22:0", strings.Replace(soundPeer, `:8492`, `:0`, 1)},
		{"IPv6", "agent/[::1]:8492", strings.Replace(soundPeer, `10.1.0.22`, `[::1]`, 1)},
		{"key of another address", "agent/10.1.0.23:8492", soundPeer},
		{"key of another role", "balancer/10.1.0.22:8492", soundPeer},
		{"key without a role", "10.1.0.22:8492", soundPeer},
		{"no service", "agent/10.1.0.22:8492", strings.Replace(soundPeer, `huvo11a`, ``, 1)},
		{"no zone", "agent/10.1.0.22:8492", strings.Replace(soundPeer, `qro-a`, ``, 1)},
	} {
		t.Run(c.name, func(t *testing.T) {
			if p, err := parsePeer(PeersPrefix+c.key, []byte(c.data)); err == nil {
				t.Errorf("read %+v", p)
			}
		})
	}
}

// Whatever a key holds, one that is read is a process that can be reached.
func FuzzPeer(f *testing.F) {
	f.Add("agent/10.1.0.22:8492", []byte(soundPeer))
	f.Add("", []byte(`{}`))
	f.Fuzz(func(t *testing.T, key string, data []byte) {
		p, err := parsePeer(PeersPrefix+key, data)
		if err != nil {
			return
		}
		if !p.Addr.Addr().Is4() || p.Addr.Port() == 0 || p.key() != PeersPrefix+key {
			t.Errorf("read %+v", p)
		}
	})
}

// keyStore is a store in memory that counts its calls.
type keyStore struct {
	Store // the calls that are not expected are nil
	items map[string]store.Item
	lease int
	calls map[string]int
	// during, if not nil, runs while the list with the number at is on its way.
	during func()
	at     int
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
		if f := s.during; f != nil && s.calls["list"] >= s.at {
			s.during = nil
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

// newRegistrar returns an newRegistrar of a process that starts, and what it finds.
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

// Symptom: after a loss of power everywhere the store turns calls away: each process
// writes its key anew under a new lease.
// Sequence: a process ends without a farewell and starts again at its address.
// Cause: the lease of the key that still lay in the store was not used.
func TestLeaseOfEarlierProcessIsTakenOver(t *testing.T) {
	s := newKeyStore()
	for range 2 {
		i, _ := newRegistrar(s, agentPeer)
		if err := i.step(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	if s.calls["grant"] != 1 || s.calls["put"] != 1 || s.calls["renew"] != 1 {
		t.Errorf("calls %v, want one grant and put by the first process, one renewal by the second", s.calls)
	}
	other := agentPeer
	other.Service = "another"
	i, _ := newRegistrar(s, other)
	if err := i.step(context.Background()); err != nil {
		t.Fatal(err)
	}
	if p, err := parsePeer(other.key(), s.items[other.key()].Data); err != nil || p != other {
		t.Errorf("the key holds %+v, %v, want what the process is now", p, err)
	}
}

// Symptom: nothing is served while the store is away, if it goes away a second after
// the processes have started: none knows another.
// Sequence: a balancer and an agent start at the same moment; the store answers their
// first calls, in any order, and no later one.
// Cause: both had read the keys of others before they wrote their own.
func TestOneOfTwoThatStartTogetherSeesTheOther(t *testing.T) {
	for _, order := range [][]Peer{{agentPeer, balancerPeer}, {balancerPeer, agentPeer}} {
		for at := range 3 {
			s := newKeyStore()
			first, foundByFirst := newRegistrar(s, order[0])
			second, foundBySecond := newRegistrar(s, order[1])
			s.at = at
			s.during = func() {
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

// Guards against an answer whose era is not looked at: the own key is looked for, and the
// others are told, as soon as any answer shows that the store came back from an older copy.
func TestEraOfOwnAnswerIsActedOn(t *testing.T) {
	s := newKeyStore()
	i, _ := newRegistrar(s, agentPeer)
	var told []uint64
	i.StoreRestored = func(version uint64) { told = append(told, version) }
	if err := i.step(context.Background()); err != nil {
		t.Fatal(err)
	}
	i.setLease(store.LeaseAt(0, 7))
	i.renewAt, i.listAt = time.Now().Add(time.Hour), time.Now()
	s.items[balancerPeer.key()] = store.Item{Key: balancerPeer.key(), Value: store.Value{Version: store.VersionAt(1, 5)}}
	s.items[agentPeer.key()] = store.Item{Key: agentPeer.key(), Value: store.Value{Version: store.VersionAt(0, 9)}}
	for range 2 {
		if err := i.step(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	if len(told) != 1 || told[0] != store.VersionAt(1, 0) {
		t.Errorf("told %v, want the era's first version once", told)
	}
	select {
	case <-i.leaseCheckDue():
	default:
		t.Error("the own key is not looked for")
	}
}

// Symptom: bytes from the store grow with the square of the fleet.
// Sequence: any.
// Cause: every process read the keys of all; an agent deals with balancers alone.
func TestAgentsReadKeysOfBalancersOnly(t *testing.T) {
	s := newKeyStore()
	other := agentPeer
	other.Addr = netip.MustParseAddrPort("10.1.0.23:8492")
	for _, p := range []Peer{balancerPeer, other, agentPeer} {
		i, found := newRegistrar(s, p)
		if err := i.step(context.Background()); err != nil {
			t.Fatal(err)
		}
		if p == agentPeer && (len(*found) != 1 || (*found)[0] != balancerPeer) {
			t.Errorf("an agent read %+v", *found)
		}
	}
}
