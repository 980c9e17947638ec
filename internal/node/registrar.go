package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/hemlockscale/hemlockscale/internal/store"
)

// Store is what the processes need of the platform's store.
type Store interface {
	store.Interface
	store.Lister
	store.Prefixed
}

// Role is what a process does.
type Role string

// The roles.
const (
	RoleBalancer Role = "balancer"
	RoleAgent    Role = "agent"
)

// Peer is one process as it introduces itself in the store.
type Peer struct {
	Role    Role           `json:"role"`
	Addr    netip.AddrPort `json:"addr"` // UDP, for the system's own messages
	Zone    string         `json:"zone"`
	Service string         `json:"service,omitempty"` // agents
}

// PeersPrefix begins the keys of all processes.
const PeersPrefix = "hemlock/nodes/"

// rolePrefix begins the keys of all processes of a role.
func rolePrefix(r Role) string { return PeersPrefix + string(r) + "/" }

func (p *Peer) key() string { return rolePrefix(p.Role) + p.Addr.String() }

// PeerError reports a key that no process has written.
type PeerError struct {
	Key    string
	Reason string
}

func (e *PeerError) Error() string {
	return fmt.Sprintf("key %s: %s; remove it, only processes of this system write under %s", e.Key, e.Reason, PeersPrefix)
}

// parsePeer reads the key of a process. Other programs may write under the same
// prefix: what is not whole, or stands under another address's key, names nobody.
func parsePeer(key string, data []byte) (Peer, error) {
	var p Peer
	if err := json.Unmarshal(data, &p); err != nil {
		return Peer{}, &PeerError{key, err.Error()}
	}
	switch {
	case p.Role != RoleBalancer && p.Role != RoleAgent:
		return Peer{}, &PeerError{key, fmt.Sprintf("role %q is not known", p.Role)}
	case !p.Addr.Addr().Is4() || p.Addr.Port() == 0:
		return Peer{}, &PeerError{key, "no IPv4 address with a port"}
	case p.key() != key:
		return Peer{}, &PeerError{key, "names " + p.Addr.String()}
	case p.Zone == "":
		return Peer{}, &PeerError{key, "no availability zone"}
	case p.Role == RoleAgent && p.Service == "":
		return Peer{}, &PeerError{key, "an agent without a service"}
	}
	return p, nil
}

const (
	// leaseTTL is how long the key of a process outlives it: longer than most
	// outages of the store and than any restart.
	leaseTTL = 45 * time.Second
	// renewInterval leaves a lease two more tries before it ends.
	renewInterval = 14 * time.Second
	// listInterval is the time between two looks for processes that did not introduce
	// themselves by a message: below the time after which two that were cut off from
	// each other have forgotten each other. Such a read may be stale and costs a tenth
	// of a call. A process that starts is known to the others by its own messages.
	listInterval = 15 * time.Second
	// secondListDelay and listAgain are when a process that has just started looks again: the
	// first list lacks those that started together with it.
	secondListDelay = time.Second
	thirdListDelay  = 4 * time.Second
	// ownKeyGrace is how long the own key may be missing from lists after it was
	// written: they may be seconds old.
	ownKeyGrace = 5 * time.Second
	// reclaimJitter bounds the time after which a process looks for its key once it has
	// heard that the store came back from an older copy. Keys have to be back within
	// two seconds.
	reclaimJitter = 500 * time.Millisecond
	// retryBase and retryMax space the repeats of failed calls. Keys have to be back
	// within two seconds of the store's return. Refused calls are priced like others:
	// at 1 s, and 150 ms at a start, an outage for some of 82 processes took a third
	// more calls in a day, 2,070 in place of 1,594.
	retryBase = 200 * time.Millisecond
	retryMax  = 1800 * time.Millisecond
)

// NewInvalidKeys returns the counter of keys that no process has written.
func NewInvalidKeys(reg prometheus.Registerer) prometheus.Counter {
	c := prometheus.NewCounter(prometheus.CounterOpts{Name: "hemlock_store_keys_wrong_total", Help: "keys read in the store that no process of this system has written"})
	reg.MustRegister(c)
	return c
}

// Registrar keeps the key of this process in the store and learns of others.
type Registrar struct {
	Self        Peer
	Store       Store
	PeersListed func(peers []Peer) // called with every list, by the introducer's goroutine
	// StoreRestored, if not nil, is called by the introducer's goroutine when an answer of the
	// store is the first to tell that it has come back from an older copy. version is the
	// lowest of the era since then.
	StoreRestored func(version uint64)
	InvalidKeys   prometheus.Counter // keys that no process has written, each time they are read
	Log           *zap.Logger

	mu           sync.Mutex // guards lease
	lease        store.LeaseID
	renewAt      time.Time
	registeredAt time.Time // when the own key was written
	listCount    int       // that were read
	listAt       time.Time // when the next one is due
	storeFailing bool
	deregistered atomic.Bool   // the key was taken away for good
	latestEra    atomic.Uint64 // latest era of the store that was heard of

	initLeaseCheck sync.Once
	leaseCheck     chan struct{} // signalled when the store may have lost the own key; see doubted
}

// Run introduces the process until ctx ends.
func (i *Registrar) Run(ctx context.Context) error {
	backoff := store.Backoff{Base: retryBase, Max: retryMax}
	for {
		err := i.step(ctx)
		i.logStoreState(err)
		wait := time.Until(i.nextCallAt())
		if err == nil {
			backoff.Reset()
		} else {
			wait = backoff.Next()
		}
		i.pause(ctx, wait)
		if ctx.Err() != nil {
			return nil
		}
	}
}

// pause waits for d, or until the store may have lost the own key. Then the lease is
// renewed soon, which shows whether it has; processes hear of it at the same moment, and
// spread their calls.
func (i *Registrar) pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	case <-i.leaseCheckDue():
		sleep(ctx, rand.N(reclaimJitter))
		i.renewAt = time.Time{}
	}
}

// leaseCheckDue returns the channel of doubts: others may be heard before Run begins.
func (i *Registrar) leaseCheckDue() chan struct{} {
	i.initLeaseCheck.Do(func() { i.leaseCheck = make(chan struct{}, 1) })
	return i.leaseCheck
}

// ObserveVersion takes the version of a value that some process has read in the store. If it is
// of a later era than the own lease, the store has come back from an older copy, and the
// own key may be gone. The next renewal would show it up to 14 s later; until then nobody
// who starts learns of this process.
func (i *Registrar) ObserveVersion(version uint64) {
	era := store.EraOf(version)
	if uint64(era) <= i.latestEra.Load() {
		return
	}
	i.latestEra.Store(uint64(era))
	if i.fromEarlierEra(i.leaseID()) {
		signal(i.leaseCheckDue())
	}
}

// observeItems takes the era that an answer of the store to this process tells, by the
// versions of its items.
func (i *Registrar) observeItems(items []store.Item) {
	latest := uint64(0)
	for n := range items {
		latest = max(latest, items[n].Version)
	}
	i.observeOwnEra(store.EraOf(latest))
}

// observeOwnEra takes the era that an answer of the store to this process tells. The others are
// told of it: in an idle fleet nobody else may call the store for a second or two, in which
// their keys have to be back.
func (i *Registrar) observeOwnEra(era store.Era) {
	if uint64(era) <= i.latestEra.Load() {
		return
	}
	first := store.VersionAt(era, 0)
	i.ObserveVersion(first)
	if i.StoreRestored != nil {
		i.StoreRestored(first)
	}
}

// fromEarlierEra reports whether a lease is of an earlier era than the latest one heard of.
func (i *Registrar) fromEarlierEra(lease store.LeaseID) bool {
	era, _, ok := lease.Split()
	return ok && uint64(era) < i.latestEra.Load()
}

// nextCallAt returns when the nextCallAt call is due.
func (i *Registrar) nextCallAt() time.Time {
	if i.renewAt.Before(i.listAt) {
		return i.renewAt
	}
	return i.listAt
}

// revokeTimeout bounds the call that takes the own key away.
const revokeTimeout = 300 * time.Millisecond

// Deregister takes the own key away: what the store names is asked by every balancer
// that starts, and the flows that it must be sure about wait for the answer. A
// key that stays ends with its lease.
func (i *Registrar) Deregister(ctx context.Context) {
	i.deregistered.Store(true)
	lease := i.leaseID()
	if lease == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, revokeTimeout)
	defer cancel()
	err := i.revoke(ctx, lease)
	i.Log.Info("key taken away", zap.String("key", i.Self.key()), zap.Error(err))
}

// revoke ends the lease of the own key. One of an earlier era may be another process's
// by now: the own key tells which one it is.
func (i *Registrar) revoke(ctx context.Context, lease store.LeaseID) error {
	if i.fromEarlierEra(lease) {
		own, err := i.ownKey(ctx, false)
		if err != nil || own == nil {
			return err
		}
		lease = own.Lease
	}
	return i.Store.Revoke(ctx, lease)
}

func (i *Registrar) leaseID() store.LeaseID {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.lease
}

func (i *Registrar) setLease(lease store.LeaseID) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.lease = lease
}

// logStoreState logs the store's loss and its return.
func (i *Registrar) logStoreState(err error) {
	if failed := err != nil; failed != i.storeFailing {
		i.storeFailing = failed
		if failed {
			i.Log.Warn("store lost", zap.String("duty", "introduce"), zap.Error(err))
		} else {
			i.Log.Info("store regained", zap.String("duty", "introduce"))
		}
	}
}

// step makes the calls that are due. The own key is in the store before others are
// read: of two processes that start at once, the later one then sees the other.
func (i *Registrar) step(ctx context.Context) error {
	if i.deregistered.Load() {
		i.renewAt, i.listAt = time.Now().Add(listInterval), time.Now().Add(listInterval)
		return nil
	}
	if err := i.ensureLease(ctx); err != nil {
		return err
	}
	if time.Now().Before(i.listAt) {
		return nil
	}
	return i.list(ctx)
}

// ensureLease sees to the lease of the own key.
func (i *Registrar) ensureLease(ctx context.Context) error {
	if i.leaseID() != "" {
		return i.renew(ctx)
	}
	own, err := i.ownKey(ctx, true)
	if err != nil {
		return err
	}
	return i.takeOverOrRegister(ctx, own)
}

// register writes the own key under a new lease.
func (i *Registrar) register(ctx context.Context) error {
	lease, err := i.Store.Grant(ctx, leaseTTL)
	if err != nil {
		return err
	}
	data, err := json.Marshal(i.Self)
	if err != nil {
		return err
	}
	if err := i.Store.Put(ctx, i.Self.key(), data, lease); err != nil {
		return err
	}
	i.setLease(lease)
	if era, _, ok := lease.Split(); ok {
		i.observeOwnEra(era)
	}
	i.registeredAt = time.Now()
	i.renewAt = i.registeredAt.Add(renewInterval)
	i.Log.Info("introduced", zap.String("key", i.Self.key()), zap.String("lease", string(lease)))
	return nil
}

func (i *Registrar) renew(ctx context.Context) error {
	if time.Now().Before(i.renewAt) {
		return nil
	}
	lease := i.leaseID()
	err := i.Store.Renew(ctx, lease)
	var expired *store.LeaseExpiredError
	var restored *store.RestoredError
	switch {
	case errors.As(err, &expired):
		i.Log.Warn("lease expired", zap.String("lease", string(lease)))
		i.setLease("")
		return i.register(ctx)
	case errors.As(err, &restored):
		return i.reclaim(ctx, lease)
	case err != nil:
		return err
	}
	i.renewAt = time.Now().Add(renewInterval)
	return nil
}

// reclaim looks for the own key after the store has come back from an older copy, which
// may lack it. If it is there its lease is taken over: that is one read and a renewal in
// place of two writes, for every process of the fleet at once. The read must not be
// stale, it would show the key as it was before.
func (i *Registrar) reclaim(ctx context.Context, lease store.LeaseID) error {
	own, err := i.ownKey(ctx, false)
	if err != nil {
		return err
	}
	i.Log.Warn("store came back from an older copy", zap.String("key", i.Self.key()), zap.String("lease", string(lease)), zap.Bool("key_kept", own != nil))
	i.setLease("")
	return i.takeOverOrRegister(ctx, own)
}

// list reads the keys of others, and looks whether the own one is there.
func (i *Registrar) list(ctx context.Context) error {
	// A balancer's first list is not stale: the agents that it names are taken for all
	// that there are when everything has just started.
	stale := i.listCount > 0 || i.Self.Role == RoleAgent
	items, err := i.Store.List(ctx, i.listPrefix(), stale)
	if err != nil {
		return err
	}
	i.observeItems(items)
	i.PeersListed(i.parsePeers(items))
	if err := i.checkOwnKey(ctx); err != nil {
		return err
	}
	i.listCount++
	i.listAt = time.Now().Add(i.untilNextList())
	return nil
}

// listPrefix begins the keys of the processes that this one deals with: balancers need to
// know all, agents only balancers.
func (i *Registrar) listPrefix() string {
	if i.Self.Role == RoleAgent {
		return rolePrefix(RoleBalancer)
	}
	return PeersPrefix
}

// untilNextList returns the time to the next look for others.
func (i *Registrar) untilNextList() time.Duration {
	switch i.listCount {
	case 1:
		return secondListDelay
	case 2:
		return thirdListDelay
	}
	return listInterval
}

// parsePeers returns the other processes that items name.
func (i *Registrar) parsePeers(items []store.Item) []Peer {
	peers := make([]Peer, 0, len(items))
	var wrong error
	for _, item := range items {
		p, err := parsePeer(item.Key, item.Data)
		if err != nil {
			i.InvalidKeys.Inc()
			wrong = err
			continue
		}
		if p.Addr != i.Self.Addr {
			peers = append(peers, p)
		}
	}
	if wrong != nil {
		i.Log.Warn("key of no process", zap.Error(wrong), zap.Int("processes", len(peers)))
	}
	return peers
}

// ownKey returns the ownKey key, nil if it is not there. A stale read costs a tenth of a call,
// and shows the key as it may have been seconds ago.
func (i *Registrar) ownKey(ctx context.Context, stale bool) (*store.Item, error) {
	items, err := i.Store.List(ctx, i.Self.key(), stale)
	if err != nil {
		return nil, err
	}
	i.observeItems(items)
	for n := range items {
		if p, err := parsePeer(items[n].Key, items[n].Data); err == nil && p == i.Self {
			return &items[n], nil
		}
	}
	return nil, nil
}

// takeOverOrRegister takes over the lease of the own key if an earlier process at this address left
// it there, and writes the key anew if not. A renewal costs a twentieth of the two
// calls for a new lease and key; after a loss of power everywhere every process of the
// fleet makes them.
func (i *Registrar) takeOverOrRegister(ctx context.Context, own *store.Item) error {
	if own == nil || own.Lease == "" {
		return i.register(ctx)
	}
	i.setLease(own.Lease)
	i.renewAt = time.Time{}
	return i.renew(ctx)
}

// checkOwnKey writes the own key anew if it is gone: the store may take keys away without
// ending their leases. A key that was written lately need not be in a stale read.
func (i *Registrar) checkOwnKey(ctx context.Context) error {
	if time.Since(i.registeredAt) < ownKeyGrace {
		return nil
	}
	own, err := i.ownKey(ctx, true)
	if err != nil || own != nil {
		return err
	}
	return i.registerIfMissing(ctx)
}

// registerIfMissing writes the own key again if it is not in the store. The read that
// lacks it may be from before it was written, so one that is not stale decides.
func (i *Registrar) registerIfMissing(ctx context.Context) error {
	_, err := i.Store.Get(ctx, i.Self.key())
	var missing *store.NotFoundError
	if !errors.As(err, &missing) {
		return err
	}
	i.Log.Warn("own key is missing from the store", zap.String("key", i.Self.key()))
	return i.register(ctx)
}
