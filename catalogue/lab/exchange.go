package lab

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/hemlockscale/hemlockscale/catalogue"
	"github.com/hemlockscale/hemlockscale/lab/exchange"
	"github.com/hemlockscale/hemlockscale/lab/simtime"
)

// Exchange is an in-memory network of replicas in simulated time. Nodes are
// identified by their index. It is not safe for concurrent use.
type Exchange struct {
	*simtime.Clock
	exchange.Network[int]
	Nodes      []*catalogue.Replica
	OnProgress func(node int) // called when the revision of a node has increased; may be nil

	Messages, Bytes  int // messages sent by all nodes, and their size with datagramOverhead
	Bulks, BulkBytes int // bulk loads sent by all nodes, and their size

	serving []int // number of bulk loads in progress at each serving node
}

const (
	tickEvery        = 100 * time.Millisecond
	minDelay         = 500 * time.Microsecond
	delaySpread      = 1500 * time.Microsecond
	bulkSetup        = 5 * time.Millisecond // handshake of the stream
	bulkRate         = 10 << 20             // bytes per second of one stream
	maxServing       = 4                    // bulk loads that a node serves at the same time
	datagramOverhead = 28 + 40              // bytes of the IP and UDP headers, seal and envelope
)

// FaultError reports an unexpected error of the package catalogue, which ends a
// run.
type FaultError struct {
	What string
	Err  error
}

func (e *FaultError) Error() string { return fmt.Sprintf("catalogue/lab: %s: %v", e.What, e.Err) }

func (e *FaultError) Unwrap() error { return e.Err }

// NodeAddr returns the address of node i.
func NodeAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7000)
}

// NodeIndex is the inverse of NodeAddr.
func NodeIndex(a netip.AddrPort) int {
	b := a.Addr().As4()
	return int(b[1])<<16 | int(b[2])<<8 | int(b[3])
}

// NewExchange returns an exchange of n empty replicas, each of which knows all
// others. loss is the share of messages lost.
func NewExchange(n int, loss float64, seed uint64, cfg catalogue.ReplicaConfig) *Exchange {
	x := &Exchange{Clock: simtime.New(), serving: make([]int, n), Nodes: make([]*catalogue.Replica, n)}
	x.Rand, x.Loss = rand.New(rand.NewPCG(seed, 3)), loss
	x.Delay = func(_, _ int) time.Duration { return minDelay + time.Duration(x.Rand.Int64N(int64(delaySpread))) }
	for i := range n {
		x.Restart(i, cfg)
		x.After(time.Duration(x.Rand.Int64N(int64(tickEvery))), func() { x.tick(i) })
	}
	return x
}

// Restart replaces node i by an empty replica.
func (x *Exchange) Restart(i int, cfg catalogue.ReplicaConfig) {
	cfg.Peers = func(k int) []netip.AddrPort { return x.peers(i, k) }
	x.Nodes[i] = catalogue.NewReplica(cfg)
}

// peers returns up to k distinct random nodes other than i.
func (x *Exchange) peers(i, k int) []netip.AddrPort {
	k = min(k, len(x.Nodes)-1)
	picked := make([]netip.AddrPort, 0, k)
	for len(picked) < k {
		a := NodeAddr(x.Rand.IntN(len(x.Nodes)))
		if a != NodeAddr(i) && !slices.Contains(picked, a) {
			picked = append(picked, a)
		}
	}
	return picked
}

// Converged returns a function that reports whether all nodes are at digest d.
func (x *Exchange) Converged(d catalogue.Digest) func() bool {
	return func() bool {
		for _, r := range x.Nodes {
			if got := r.Digest(); got.Revision != d.Revision || got.Checksum != d.Checksum {
				return false
			}
		}
		return true
	}
}

func (x *Exchange) tick(i int) {
	x.Nodes[i].Tick(x.Now())
	x.flush(i)
	x.After(tickEvery, func() { x.tick(i) })
}

// flush sends the outgoing messages of a node and starts the bulk load that it
// needs, if any.
func (x *Exchange) flush(i int) {
	for _, p := range x.Nodes[i].Outgoing() {
		x.Messages++
		x.Bytes += len(p.Message.Encode()) + datagramOverhead
		to := NodeIndex(p.To)
		x.Deliver(i, to, func(delay time.Duration) {
			x.After(delay, func() {
				x.Update(to, func(r *catalogue.Replica) { r.Receive(x.Now(), NodeAddr(i), p.Message) })
			})
		})
	}
	if peer, ok := x.Nodes[i].BulkSource(); ok {
		x.bulk(NodeIndex(peer), i)
	}
}

// Update calls f with the replica of node i, sends the messages that result, and
// calls OnProgress if the revision has increased.
func (x *Exchange) Update(i int, f func(*catalogue.Replica)) {
	before := x.Nodes[i].Digest().Revision
	f(x.Nodes[i])
	x.flush(i)
	if x.OnProgress != nil && x.Nodes[i].Digest().Revision > before {
		x.OnProgress(i)
	}
}

// bulk simulates a bulk load from one node to another over a stream.
func (x *Exchange) bulk(from, to int) {
	if x.serving[from] >= maxServing {
		x.After(bulkSetup, func() { x.Nodes[to].BulkFailed() })
		return
	}
	x.serving[from]++
	var buf bytes.Buffer
	if err := x.Nodes[from].Bulk(x.Nodes[to].Digest()).Write(&buf); err != nil {
		panic(&FaultError{"write of a bulk load", err})
	}
	x.Bulks++
	x.BulkBytes += buf.Len()
	took := bulkSetup + time.Duration(float64(buf.Len())/bulkRate*float64(time.Second))
	x.After(took, func() {
		x.serving[from]--
		got, err := catalogue.ReadBulk(&buf)
		if err != nil {
			panic(&FaultError{"read of a bulk load", err})
		}
		x.Update(to, func(r *catalogue.Replica) { _ = r.ReceiveBulk(x.Now(), NodeAddr(from), got) })
	})
}
