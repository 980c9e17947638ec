package catalogue

import (
	"bytes"
	"container/heap"
	"math/rand/v2"
	"net/netip"
	"time"
)

// exchange carries messages between replicas in memory, in simulated time,
// with loss, duplication and random delay.
type exchange struct {
	now   time.Time
	rng   *rand.Rand
	nodes []*Replica
	loss  float64
	dup   float64
	queue events
	seq   int

	messages, bytes int // sent by all
	bulks, bulkSize int
	serving         []int // bulk loads served by each node now
	onProgress      func(node int)
	cut             func(from, to int) bool // drops what passes between them
}

const (
	exchangeTick  = 100 * time.Millisecond
	minDelay      = 500 * time.Microsecond
	delaySpread   = 1500 * time.Microsecond
	bulkSetup     = 5 * time.Millisecond // handshake of the stream
	bulkRate      = 10 << 20             // bytes a second of one stream
	servedAtOnce  = 4
	datagramFrame = 28 + 40 // IP, UDP, seal and envelope
)

var epoch = time.Unix(1_700_000_000, 0)

type event struct {
	at  time.Time
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].seq < e[j].seq
	}
	return e[i].at.Before(e[j].at)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

func nodeAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7000)
}

func nodeIndex(a netip.AddrPort) int {
	b := a.Addr().As4()
	return int(b[1])<<16 | int(b[2])<<8 | int(b[3])
}

func newExchange(n int, loss float64, seed uint64, cfg ReplicaConfig) *exchange {
	x := &exchange{now: epoch, rng: rand.New(rand.NewPCG(seed, 3)), loss: loss, serving: make([]int, n)}
	for i := range n {
		c := cfg
		c.Peers = func(k int) []netip.AddrPort { return x.peers(i, k) }
		x.nodes = append(x.nodes, NewReplica(c))
		x.after(time.Duration(x.rng.Int64N(int64(exchangeTick))), func() { x.tick(i) })
	}
	return x
}

// peers picks up to k distinct nodes other than i.
func (x *exchange) peers(i, k int) []netip.AddrPort {
	k = min(k, len(x.nodes)-1)
	picked := make([]netip.AddrPort, 0, k)
	for len(picked) < k {
		a := nodeAddr(x.rng.IntN(len(x.nodes)))
		if a != nodeAddr(i) && !containsAddr(picked, a) {
			picked = append(picked, a)
		}
	}
	return picked
}

func containsAddr(list []netip.AddrPort, a netip.AddrPort) bool {
	for _, b := range list {
		if a == b {
			return true
		}
	}
	return false
}

func (x *exchange) after(d time.Duration, run func()) {
	x.seq++
	heap.Push(&x.queue, event{x.now.Add(d), x.seq, run})
}

// run handles events until end or until done says so.
func (x *exchange) run(end time.Time, done func() bool) {
	for len(x.queue) > 0 && !x.queue[0].at.After(end) {
		e := heap.Pop(&x.queue).(event)
		x.now = e.at
		e.run()
		if done != nil && done() {
			return
		}
	}
	x.now = end
}

func (x *exchange) tick(i int) {
	x.nodes[i].Tick(x.now)
	x.flush(i)
	x.after(exchangeTick, func() { x.tick(i) })
}

// flush sends what a node has to send.
func (x *exchange) flush(i int) {
	for _, p := range x.nodes[i].Outgoing() {
		x.messages++
		x.bytes += len(p.Message.Encode()) + datagramFrame
		x.deliver(i, p)
		if x.rng.Float64() < x.dup {
			x.deliver(i, p)
		}
	}
	if peer, ok := x.nodes[i].NeedsBulk(); ok {
		x.bulk(nodeIndex(peer), i)
	}
}

func (x *exchange) deliver(from int, p Packet) {
	if x.rng.Float64() < x.loss {
		return
	}
	to := nodeIndex(p.To)
	if x.cut != nil && x.cut(from, to) {
		return
	}
	x.after(minDelay+time.Duration(x.rng.Int64N(int64(delaySpread))), func() {
		x.change(to, func(r *Replica) { r.Receive(x.now, nodeAddr(from), p.Message) })
	})
}

// change runs f on a node, sends what it has to send and tells of progress.
func (x *exchange) change(i int, f func(*Replica)) {
	before := x.nodes[i].Digest().Revision
	f(x.nodes[i])
	x.flush(i)
	if x.onProgress != nil && x.nodes[i].Digest().Revision > before {
		x.onProgress(i)
	}
}

// bulk carries a bulk load from one node to another over a stream.
func (x *exchange) bulk(from, to int) {
	if x.serving[from] >= servedAtOnce {
		x.after(bulkSetup, func() { x.nodes[to].BulkFailed() })
		return
	}
	x.serving[from]++
	b := x.nodes[from].Bulk(x.nodes[to].Digest())
	var buf bytes.Buffer
	if err := b.Write(&buf); err != nil {
		panic(err)
	}
	x.bulks++
	x.bulkSize += buf.Len()
	took := bulkSetup + time.Duration(float64(buf.Len())/bulkRate*float64(time.Second))
	x.after(took, func() {
		x.serving[from]--
		got, err := ReadBulk(&buf)
		if err != nil {
			panic(err)
		}
		x.change(to, func(r *Replica) { _ = r.ReceiveBulk(x.now, nodeAddr(from), got) })
	})
}

// writer makes valid changes without a store.
type writer struct {
	state *Catalogue
	n     int
}

func newWriter() *writer { return &writer{state: New()} }

// edit makes changes of count entries, cycling over services many services.
func (w *writer) edit(count, services int) []Change {
	e := Edit{Editor: "ayse.yilmaz", Owner: "kanatpar"}
	for range count {
		k := w.n % services
		w.n++
		ent := Entry{
			Service: "listing-" + serviceName(k), Owner: "kanatpar", Class: ClassStream,
			Addresses: []netip.Addr{netip.AddrFrom4([4]byte{100, byte(k >> 16), byte(k >> 8), byte(k)})},
			Limits:    Limits{Connections: 2000, Slots: 1 + w.n%MaxSlots, Deadline: 10 * time.Second},
		}
		e.Put = append(e.Put, ent)
	}
	changes, err := w.state.Plan(e, NewEditID(w.state.revision), epoch)
	if err != nil {
		panic(err)
	}
	for _, ch := range changes {
		if err := w.state.Apply(ch); err != nil {
			panic(err)
		}
	}
	return changes
}

func serviceName(k int) string {
	const letters = "abcdefghij"
	name := []byte("00000000")
	for i := range name {
		name[i] = letters[k%10]
		k /= 10
	}
	return string(name)
}
