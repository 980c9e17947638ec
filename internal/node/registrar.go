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

// Store is the part of the platform's store that the processes use.
type Store interface {
	store.Interface
	store.Registry
	store.PrefixWatcher
}

// Role is the role of a process.
type Role string

// The roles.
const (
	RoleBalancer Role = "balancer"
	RoleAgent    Role = "agent"
)

// Peer is a process as registered in the store.
type Peer struct {
	Role    Role           `json:"role"`
	Addr    netip.AddrPort `json:"addr"` // UDP, for messages between processes
	Zone    string         `json:"zone"`
	Service string         `json:"service,omitempty"` // agents only
	// Instance is the identity of the agent's backend server when the key was written,
	// empty if it was not known.
	Instance string `json:"instance,omitempty"`
}

// sameProcess reports whether both are registrations of the same process, whatever server
// was beside it.
func (p Peer) sameProcess(o Peer) bool {
	p.Instance, o.Instance = "", ""
	return p == o
}

// PeersPrefix is the prefix of the keys of all processes.
const PeersPrefix = "hemlock/nodes/"

// rolePrefix returns the prefix of the keys of all processes with a role.
func rolePrefix(r Role) string { return PeersPrefix + string(r) + "/" }

func (p *Peer) key() string { return rolePrefix(p.Role) + p.Addr.String() }

// PeerError reports a key under PeersPrefix that does not hold a valid registration of a
// process.
type PeerError struct {
	Key    string
	Reason string
}

func (e *PeerError) Error() string {
	return fmt.Sprintf("key %s is not the registration of a process: %s; remove the key, since only processes of this system may write under %s", e.Key, e.Reason, PeersPrefix)
}

// parsePeer decodes the registration under a key. Other programs may write under the same
// prefix, so it rejects data that is incomplete or belongs to another key. Errors: *PeerError.
func parsePeer(key string, data []byte) (Peer, error) {
	var p Peer
	if err := json.Unmarshal(data, &p); err != nil {
		return Peer{}, &PeerError{key, err.Error()}
	}
	switch {
	case p.Role != RoleBalancer && p.Role != RoleAgent:
		return Peer{}, &PeerError{key, fmt.Sprintf("unknown role %q", p.Role)}
	case !p.Addr.Addr().Is4() || p.Addr.Port() == 0:
		return Peer{}, &PeerError{key, "no IPv4 address with a port"}
	case p.key() != key:
		return Peer{}, &PeerError{key, "the data belongs to " + p.Addr.String()}
	case p.Zone == "":
		return Peer{}, &PeerError{key, "no availability zone"}
	case p.Role == RoleAgent && p.Service == "":
		return Peer{}, &PeerError{key, "agent without a service"}
	}
	return p, nil
}

const (
	// leaseTTL is how long the key of a process stays after the process has failed. It is
	// longer than most outages of the store and than any restart.
	leaseTTL = 45 * time.Second
	// renewInterval is the time between renewals. If one fails, there is time for two more
	// before the lease expires.
	renewInterval = 14 * time.Second
	// listInterval is the time between two lists of the processes' keys, which find processes
	// whose messages did not arrive. It is shorter than the time after which two processes
	// that are cut off from each other remove each other. Such a list may be stale and costs
	// a tenth of a call. A process that starts announces itself by messages.
	listInterval = 15 * time.Second
	// secondListDelay and thirdListDelay are the times from the first to the second and from
	// the second to the third list of a process that has recently started. The first list
	// lacks the processes that started at the same time.
	secondListDelay = time.Second
	thirdListDelay  = 4 * time.Second
	// ownKeyGrace is how long the process's own key may be missing from lists after it was
	// written, since a stale list may be seconds old.
	ownKeyGrace = 5 * time.Second
	// reclaimJitter bounds the random delay between the notice that the store was restored
	// from an older copy and the renewal of the lease. Keys have to be back within two seconds.
	reclaimJitter = 500 * time.Millisecond
	// instanceWait is how long an agent's first registration waits until the identity of its
	// server is known, which saves a second write of the key. Until then balancers learn of
	// the agent from its own messages.
	instanceWait = 30 * time.Second
	// instancePoll is the time between two checks of that identity, and firstInstancePoll
	// the time while the first registration waits for it: until the key is written, processes
	// that start find the agent only through others. instanceJitter bounds the random delay
	// until another identity is written: after a power loss all servers are new.
	instancePoll      = 250 * time.Millisecond
	firstInstancePoll = 20 * time.Millisecond
	instanceJitter    = time.Second
	// retryBase and retryMax bound the delay between retries of failed calls. Keys have to be
	// back within two seconds of the store's return. A refused call costs as much as an
	// answered one, and during a partial outage every process that the store refuses makes
	// such calls.
	retryBase = 200 * time.Millisecond
	retryMax  = 1800 * time.Millisecond
)

// NewInvalidKeys registers and returns the counter for Registrar.InvalidKeys.
func NewInvalidKeys(reg prometheus.Registerer) prometheus.Counter {
	c := prometheus.NewCounter(prometheus.CounterOpts{Name: "hemlock_store_keys_wrong_total", Help: "keys read from the store that are not the registration of a process"})
	reg.MustRegister(c)
	return c
}

// Registrar keeps the key of this process in the store and lists the keys of other processes.
type Registrar struct {
	Self        Peer
	Store       Store
	PeersListed func(peers []Peer) // called with the other processes of every list, from Run's goroutine
	// StoreRestored, if not nil, is called from Run's goroutine when a response of the store
	// is the first to show that the store was restored from an older copy. version is the
	// lowest version of the new store era.
	StoreRestored func(version uint64)
	// Instance returns the identity of the agent's backend server, empty while it is not known.
	// PreviousInstance is called once, with the identity in the key that an earlier process at
	// this address has left, empty if there is none. Both are nil for a balancer.
	Instance         func() string
	PreviousInstance func(instance string)
	InvalidKeys      prometheus.Counter // hemlock_store_keys_wrong_total: keys that are no valid registration, counted at every read
	Log              *zap.Logger

	mu           sync.Mutex // guards lease
	lease        store.LeaseID
	renewAt      time.Time
	registeredAt time.Time // when the process's own key was written
	previousRead bool      // PreviousInstance was called
	instanceFrom time.Time // when the server's identity is written to the key, if it differs; zero: it does not
	startedAt    time.Time // when the first step was made
	listCount    int       // number of lists read
	peersFound   bool      // some list had another process
	listAt       time.Time // when the next list is due
	storeFailing bool
	deregistered atomic.Bool   // Deregister was called: the key is not written again
	latestEra    atomic.Uint64 // latest store era observed by any process

	initLeaseCheck sync.Once
	leaseCheck     chan struct{} // signalled when the store may have lost the process's own key; see leaseCheckDue
}

// Run keeps the process registered until ctx ends.
func (r *Registrar) Run(ctx context.Context) error {
	backoff := store.Backoff{Base: retryBase, Max: retryMax}
	for {
		err := r.step(ctx)
		r.logStoreState(err)
		wait := time.Until(r.nextCallAt())
		if err == nil {
			backoff.Reset()
		} else {
			wait = backoff.Next()
		}
		r.pause(ctx, wait)
		if ctx.Err() != nil {
			return nil
		}
	}
}

// pause waits for d, or until the store may have lost the process's own key. In that case the
// lease is renewed after a random delay, which shows whether the key is lost. The delay
// spreads the calls of the processes, which are notified at the same moment.
func (r *Registrar) pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	case <-r.leaseCheckDue():
		sleep(ctx, rand.N(reclaimJitter))
		r.renewAt = time.Time{}
	}
}

// leaseCheckDue returns the channel that requests an early renewal. It is created on first
// use, since messages of other processes may arrive before Run is called.
func (r *Registrar) leaseCheckDue() chan struct{} {
	r.initLeaseCheck.Do(func() { r.leaseCheck = make(chan struct{}, 1) })
	return r.leaseCheck
}

// ObserveVersion records the version of a value that any process has read from the store. If
// it is of a later store era than the lease, the store was restored from an older copy and
// may lack this process's key, so the lease is renewed soon. The next regular renewal would
// detect the loss up to renewInterval (14 s) later, and processes that start until
// then would not find this process.
func (r *Registrar) ObserveVersion(version uint64) {
	era := store.EraOf(version)
	if uint64(era) <= r.latestEra.Load() {
		return
	}
	r.latestEra.Store(uint64(era))
	if r.fromEarlierEra(r.leaseID()) {
		signal(r.leaseCheckDue())
	}
}

// observeItems records the store era of a response of the store to this process, which is
// that of the highest version among its items.
func (r *Registrar) observeItems(items []store.Item) {
	latest := uint64(0)
	for n := range items {
		latest = max(latest, items[n].Version)
	}
	r.observeOwnEra(store.EraOf(latest))
}

// observeOwnEra records the store era of a response of the store to this process. A new era
// is announced to the other processes: in an idle fleet a second or two may pass until another
// process calls the store, and by then the processes' keys have to be back.
func (r *Registrar) observeOwnEra(era store.Era) {
	if uint64(era) <= r.latestEra.Load() {
		return
	}
	first := store.VersionAt(era, 0)
	r.ObserveVersion(first)
	if r.StoreRestored != nil {
		r.StoreRestored(first)
	}
}

// fromEarlierEra reports whether a lease is of an earlier store era than the latest observed.
func (r *Registrar) fromEarlierEra(lease store.LeaseID) bool {
	era, _, ok := lease.Split()
	return ok && uint64(era) < r.latestEra.Load()
}

// nextCallAt returns when the next call may be due.
func (r *Registrar) nextCallAt() time.Time {
	next := r.listAt
	if r.renewAt.Before(next) {
		next = r.renewAt
	}
	if poll := time.Now().Add(r.untilInstancePoll()); r.Instance != nil && poll.Before(next) {
		next = poll
	}
	return next
}

// untilInstancePoll returns the time until the server's identity is checked again.
func (r *Registrar) untilInstancePoll() time.Duration {
	if r.leaseID() == "" {
		return firstInstancePoll
	}
	return instancePoll
}

// revokeTimeout bounds the time that Deregister takes.
const revokeTimeout = 300 * time.Millisecond

// Deregister removes this process's key from the store. Every balancer that starts queries
// all registered agents, and flows whose agent is not known yet wait for all responses. If
// the removal fails, the key expires with its lease.
func (r *Registrar) Deregister(ctx context.Context) {
	r.deregistered.Store(true)
	lease := r.leaseID()
	if lease == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, revokeTimeout)
	defer cancel()
	err := r.revoke(ctx, lease)
	r.Log.Info("deregistration from the store finished", zap.String("key", r.Self.key()), zap.Error(err))
}

// revoke revokes the lease of the process's own key. A lease ID of an earlier store era may
// belong to another process by now, so the current one is read from the key.
func (r *Registrar) revoke(ctx context.Context, lease store.LeaseID) error {
	if r.fromEarlierEra(lease) {
		own, err := r.ownKey(ctx, false)
		if err != nil || own == nil {
			return err
		}
		lease = own.Lease
	}
	return r.Store.Revoke(ctx, lease)
}

func (r *Registrar) leaseID() store.LeaseID {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lease
}

func (r *Registrar) setLease(lease store.LeaseID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lease = lease
}

// logStoreState logs when calls to the store begin to fail and when they succeed again.
func (r *Registrar) logStoreState(err error) {
	if failed := err != nil; failed != r.storeFailing {
		r.storeFailing = failed
		if failed {
			r.Log.Warn("store not available, retrying", zap.String("task", "registration"), zap.Error(err))
		} else {
			r.Log.Info("store available again", zap.String("task", "registration"))
		}
	}
}

// step makes the calls that are due. A balancer writes its own key before it lists the
// others. Of two processes that start at the same time, at least the later one then finds
// the other. An agent that waits for its server's identity lists the balancers before; if
// there is none yet, to which it could introduce itself, it writes its key at once and lists
// them again.
func (r *Registrar) step(ctx context.Context) error {
	if r.deregistered.Load() {
		r.renewAt, r.listAt = time.Now().Add(listInterval), time.Now().Add(listInterval)
		return nil
	}
	if err := r.ensureLease(ctx); err != nil {
		return err
	}
	if err := r.updateInstance(ctx); err != nil {
		return err
	}
	if time.Now().Before(r.listAt) {
		return nil
	}
	if err := r.list(ctx); err != nil || r.leaseID() != "" || r.awaitsInstance() {
		return err
	}
	if err := r.ensureLease(ctx); err != nil {
		return err
	}
	return r.list(ctx)
}

// ensureLease renews the lease of the process's own key, or registers the process if it has
// no lease.
func (r *Registrar) ensureLease(ctx context.Context) error {
	if r.leaseID() != "" {
		return r.renew(ctx)
	}
	if r.startedAt.IsZero() {
		r.startedAt = time.Now()
	}
	if r.previousRead && r.awaitsInstance() {
		return nil
	}
	own, err := r.ownKey(ctx, true)
	if err != nil {
		return err
	}
	r.reportPrevious(own)
	if own == nil && r.awaitsInstance() {
		r.renewAt = time.Now().Add(instancePoll)
		return nil
	}
	return r.takeOverOrRegister(ctx, own)
}

// reportPrevious passes the server's identity in the key of an earlier process to
// PreviousInstance.
func (r *Registrar) reportPrevious(own *store.Item) {
	if r.PreviousInstance == nil || r.previousRead {
		return
	}
	r.previousRead = true
	previous := ""
	if own != nil {
		if p, err := parsePeer(own.Key, own.Data); err == nil {
			previous = p.Instance
		}
	}
	r.Self.Instance = previous
	r.PreviousInstance(previous)
}

// awaitsInstance reports whether a first registration waits for the server's identity.
func (r *Registrar) awaitsInstance() bool {
	known := r.listCount == 0 || r.peersFound
	return r.Instance != nil && r.Instance() == "" && known && time.Since(r.startedAt) < instanceWait
}

// updateInstance writes the server's identity to the process's own key if it has changed. A
// process that starts at this address later compares it with that of its server.
func (r *Registrar) updateInstance(ctx context.Context) error {
	if r.Instance == nil || r.leaseID() == "" {
		return nil
	}
	instance := r.Instance()
	if instance == "" || instance == r.Self.Instance {
		r.instanceFrom = time.Time{}
		return nil
	}
	if r.instanceFrom.IsZero() {
		r.instanceFrom = time.Now().Add(rand.N(instanceJitter))
	}
	if time.Now().Before(r.instanceFrom) {
		return nil
	}
	r.Self.Instance = instance
	if err := r.putKey(ctx, r.leaseID()); err != nil {
		r.Self.Instance = ""
		return err
	}
	return nil
}

// putKey writes the process's own key.
func (r *Registrar) putKey(ctx context.Context, lease store.LeaseID) error {
	data, err := json.Marshal(r.Self)
	if err != nil {
		return err
	}
	return r.Store.Put(ctx, r.Self.key(), data, lease)
}

// register writes the process's own key under a new lease.
func (r *Registrar) register(ctx context.Context) error {
	lease, err := r.Store.Grant(ctx, leaseTTL)
	if err != nil {
		return err
	}
	if r.Instance != nil {
		r.Self.Instance = r.Instance()
	}
	if err := r.putKey(ctx, lease); err != nil {
		return err
	}
	r.setLease(lease)
	if era, _, ok := lease.Split(); ok {
		r.observeOwnEra(era)
	}
	r.registeredAt = time.Now()
	r.renewAt = r.registeredAt.Add(renewInterval)
	r.Log.Info("introduced", zap.String("key", r.Self.key()), zap.String("lease", string(lease)))
	return nil
}

func (r *Registrar) renew(ctx context.Context) error {
	if time.Now().Before(r.renewAt) {
		return nil
	}
	lease := r.leaseID()
	err := r.Store.Renew(ctx, lease)
	var expired *store.LeaseExpiredError
	var restored *store.RestoredError
	switch {
	case errors.As(err, &expired):
		r.Log.Warn("lease of this process's key expired, registering again", zap.String("lease", string(lease)))
		r.setLease("")
		return r.register(ctx)
	case errors.As(err, &restored):
		return r.reclaim(ctx, lease)
	case err != nil:
		return err
	}
	r.renewAt = time.Now().Add(renewInterval)
	return nil
}

// reclaim reads the process's own key after the store was restored from an older copy, which
// may lack the key. If the key is there, its lease is taken over: one read and one renewal
// instead of two writes, for every process of the fleet at once. A stale read might show the
// key as it was before the restore, so the read is not stale.
func (r *Registrar) reclaim(ctx context.Context, lease store.LeaseID) error {
	own, err := r.ownKey(ctx, false)
	if err != nil {
		return err
	}
	r.Log.Warn("store was restored from an older copy", zap.String("key", r.Self.key()), zap.String("lease", string(lease)), zap.Bool("key_kept", own != nil))
	r.setLease("")
	return r.takeOverOrRegister(ctx, own)
}

// list reads the keys of other processes and checks that this process's key is in the store.
func (r *Registrar) list(ctx context.Context) error {
	// A balancer's first list is not stale, because after a start of the whole fleet the
	// balancer assumes that its agents are all agents that exist.
	stale := r.listCount > 0 || r.Self.Role == RoleAgent
	items, err := r.Store.List(ctx, r.listPrefix(), stale)
	if err != nil {
		return err
	}
	r.observeItems(items)
	peers := r.parsePeers(items)
	r.peersFound = r.peersFound || len(peers) > 0
	r.PeersListed(peers)
	if err := r.checkOwnKey(ctx); err != nil {
		return err
	}
	r.listCount++
	r.listAt = time.Now().Add(r.untilNextList())
	return nil
}

// listPrefix returns the prefix of the keys that this process lists: balancers list all
// processes, agents only balancers.
func (r *Registrar) listPrefix() string {
	if r.Self.Role == RoleAgent {
		return rolePrefix(RoleBalancer)
	}
	return PeersPrefix
}

// untilNextList returns the delay until the next list.
func (r *Registrar) untilNextList() time.Duration {
	switch r.listCount {
	case 1:
		return secondListDelay
	case 2:
		return thirdListDelay
	}
	return listInterval
}

// parsePeers returns the other processes that are registered in items. It counts and logs
// invalid keys.
func (r *Registrar) parsePeers(items []store.Item) []Peer {
	peers := make([]Peer, 0, len(items))
	var lastInvalid error
	for _, item := range items {
		p, err := parsePeer(item.Key, item.Data)
		if err != nil {
			r.InvalidKeys.Inc()
			lastInvalid = err
			continue
		}
		if p.Addr != r.Self.Addr {
			peers = append(peers, p)
		}
	}
	if lastInvalid != nil {
		r.Log.Warn("ignored invalid keys among the registered processes", zap.Error(lastInvalid), zap.Int("processes", len(peers)))
	}
	return peers
}

// ownKey returns the process's own key, nil if it is not in the store. A stale read costs a
// tenth of a call and may return the key as it was seconds ago.
func (r *Registrar) ownKey(ctx context.Context, stale bool) (*store.Item, error) {
	items, err := r.Store.List(ctx, r.Self.key(), stale)
	if err != nil {
		return nil, err
	}
	r.observeItems(items)
	for n := range items {
		if p, err := parsePeer(items[n].Key, items[n].Data); err == nil && p.sameProcess(r.Self) {
			return &items[n], nil
		}
	}
	return nil, nil
}

// takeOverOrRegister takes over the lease of the process's own key if an earlier process at
// this address has left it in the store, and otherwise writes the key under a new lease. A
// renewal costs a twentieth of the two calls for a new lease and key, which every process of
// the fleet would make after a power failure of all VMs.
func (r *Registrar) takeOverOrRegister(ctx context.Context, own *store.Item) error {
	if own == nil || own.Lease == "" {
		return r.register(ctx)
	}
	r.setLease(own.Lease)
	r.renewAt = time.Time{}
	return r.renew(ctx)
}

// checkOwnKey registers the process again if its key is missing: the store may remove keys
// without ending their leases. It skips the check for ownKeyGrace after the key was written,
// since a stale read may lack the key, and while there is no key yet.
func (r *Registrar) checkOwnKey(ctx context.Context) error {
	if r.leaseID() == "" || time.Since(r.registeredAt) < ownKeyGrace {
		return nil
	}
	own, err := r.ownKey(ctx, true)
	if err != nil || own != nil {
		return err
	}
	return r.registerIfMissing(ctx)
}

// registerIfMissing registers the process again if a read that is not stale shows that its
// key is missing. The stale read before it may predate the key.
func (r *Registrar) registerIfMissing(ctx context.Context) error {
	_, err := r.Store.Get(ctx, r.Self.key())
	var missing *store.NotFoundError
	if !errors.As(err, &missing) {
		return err
	}
	r.Log.Warn("this process's key is missing from the store, registering again", zap.String("key", r.Self.key()))
	return r.register(ctx)
}
