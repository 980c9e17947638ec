package catalogue

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// cluster is a store, an editor and several replicas. Their messages are kept in
// pending and delivered in any order, several times or never.
type cluster struct {
	t            *rapid.T
	st           *memStore
	ed           *Editor
	now          time.Time
	nodes        []*Replica
	pending      []pendingMessage
	checksums    map[uint64]Checksum // of each revision that the store has ever had
	lastRevision []uint64            // of each node at the last check
	loads        []bulkLoad          // in progress
}

// bulkLoad is a bulk load in progress, from a peer to the node of index to.
type bulkLoad struct {
	to   int
	from netip.AddrPort
	b    Bulk
}

// pendingMessage is a message that the node of index from has sent.
type pendingMessage struct {
	from int
	p    Packet
}

func newCluster(t *rapid.T) *cluster {
	cl := &cluster{t: t, st: newMemStore(rapid.Uint64().Draw(t, "seed")), now: epoch, checksums: map[uint64]Checksum{0: 0}}
	cl.ed = &Editor{Store: cl.st, Now: func() time.Time { return cl.now }}
	if rapid.Bool().Draw(t, "small") {
		cl.ed.sizes = smallSizes
	}
	n := rapid.IntRange(2, 6).Draw(t, "nodes")
	cl.lastRevision = make([]uint64, n)
	for i := range n {
		cl.nodes = append(cl.nodes, NewReplica(ReplicaConfig{
			BulkGap: 6, Keep: 8,
			Peers: func(k int) []netip.AddrPort { return cl.peers(i, k) },
		}))
	}
	return cl
}

func (cl *cluster) peers(i, k int) []netip.AddrPort {
	var all []netip.AddrPort
	for j := range cl.nodes {
		if j != i {
			all = append(all, nodeAddr(j))
		}
	}
	cl.st.rng.Shuffle(len(all), func(a, b int) { all[a], all[b] = all[b], all[a] })
	return all[:min(k, len(all))]
}

func (cl *cluster) edit() {
	e := Edit{Editor: "ayse", Owner: "kanatpar"}
	for _, k := range rapid.SliceOfNDistinct(rapid.IntRange(0, 9), 1, 4, rapid.ID[int]).Draw(cl.t, "services") {
		service := fmt.Sprintf("s%d", k)
		if rapid.IntRange(0, 3).Draw(cl.t, "op") == 0 {
			e.Delete = append(e.Delete, service)
			continue
		}
		addr := fmt.Sprintf("10.0.0.%d", rapid.IntRange(1, 12).Draw(cl.t, "address"))
		ent := entry(service, "kanatpar", addr)
		ent.Limits.Slots = rapid.IntRange(1, 3).Draw(cl.t, "slots")
		e.Put = append(e.Put, ent)
	}
	_, err := cl.ed.Apply(context.Background(), e)
	var refused *RefusedError
	var unknown *UnknownOutcomeError
	if err != nil && !errors.As(err, &refused) && !errors.As(err, &unknown) {
		cl.t.Fatalf("edit: %v", err)
	}
	cl.checkStore()
}

// checkStore reads the store without faults, records its revisions and checks
// that they are consecutive and never overwritten.
func (cl *cluster) checkStore() {
	down, lose, drop := cl.st.down, cl.st.lose, cl.st.drop
	cl.st.set(0, 0, 0)
	defer cl.st.set(down, lose, drop)
	h, _, err := ReadHead(context.Background(), cl.st)
	if err != nil {
		cl.t.Fatal(err)
	}
	changes, err := h.changesAfter(context.Background(), cl.st, 0)
	if err != nil {
		cl.t.Fatal(err)
	}
	for i, ch := range changes {
		if want := h.oldest() + uint64(i) + 1; ch.Revision != want {
			cl.t.Fatalf("revision %d, want %d", ch.Revision, want)
		}
		if old, ok := cl.checksums[ch.Revision]; ok && old != ch.Checksum {
			cl.t.Fatalf("revision %d was overwritten", ch.Revision)
		}
		cl.checksums[ch.Revision] = ch.Checksum
	}
}

func (cl *cluster) node() int { return rapid.IntRange(0, len(cl.nodes)-1).Draw(cl.t, "node") }

func (cl *cluster) readStore() {
	i := cl.node()
	v, err := cl.st.Get(context.Background(), HeadKey)
	if err != nil {
		return
	}
	h, err := DecodeHead(v.Data)
	if err != nil {
		cl.t.Fatal(err)
	}
	if !cl.nodes[i].ReceiveHead(cl.now, h) {
		return
	}
	if b, err := LoadSince(context.Background(), cl.st, cl.nodes[i].Digest()); err == nil {
		_ = cl.nodes[i].ReceiveLoad(cl.now, b)
	}
}

func (cl *cluster) tick() {
	cl.now = cl.now.Add(time.Duration(rapid.IntRange(1, 700).Draw(cl.t, "ms")) * time.Millisecond)
	cl.nodes[cl.node()].Tick(cl.now)
}

func (cl *cluster) collectMessages() {
	for i, r := range cl.nodes {
		for _, p := range r.Outgoing() {
			cl.pending = append(cl.pending, pendingMessage{i, p})
		}
	}
}

// deliver delivers a random pending message, which stays pending in half of the
// cases.
func (cl *cluster) deliver() {
	cl.collectMessages()
	if len(cl.pending) == 0 {
		return
	}
	i := rapid.IntRange(0, len(cl.pending)-1).Draw(cl.t, "message")
	msg := cl.pending[i]
	if rapid.Bool().Draw(cl.t, "once") {
		cl.pending = append(cl.pending[:i], cl.pending[i+1:]...)
	}
	m, err := DecodeMessage(msg.p.Message.Encode())
	if err != nil {
		cl.t.Fatal(err)
	}
	cl.nodes[nodeIndex(msg.p.To)].Receive(cl.now, nodeAddr(msg.from), m)
	cl.startLoad(nodeIndex(msg.p.To))
}

func (cl *cluster) startLoad(i int) {
	peer, ok := cl.nodes[i].BulkSource()
	if !ok {
		return
	}
	if rapid.IntRange(0, 3).Draw(cl.t, "bulk") == 0 {
		cl.nodes[i].BulkFailed()
		return
	}
	var buf bytes.Buffer
	if err := cl.nodes[nodeIndex(peer)].Bulk(cl.nodes[i].Digest()).Write(&buf); err != nil {
		cl.t.Fatal(err)
	}
	b, err := ReadBulk(&buf)
	if err != nil {
		cl.t.Fatal(err)
	}
	cl.loads = append(cl.loads, bulkLoad{i, peer, b})
}

// finishLoad completes a random bulk load in progress.
func (cl *cluster) finishLoad() {
	if len(cl.loads) == 0 {
		return
	}
	i := rapid.IntRange(0, len(cl.loads)-1).Draw(cl.t, "load")
	l := cl.loads[i]
	cl.loads = append(cl.loads[:i], cl.loads[i+1:]...)
	_ = cl.nodes[l.to].ReceiveBulk(cl.now, l.from, l.b)
}

func (cl *cluster) setFaults() {
	share := rapid.SampledFrom([]float64{0, 0.3, 1})
	cl.st.set(share.Draw(cl.t, "down"), share.Draw(cl.t, "lose"), share.Draw(cl.t, "drop"))
}

// check is called after every step. It checks that no replica's revision has
// decreased and that each replica's state is one that the store has had.
func (cl *cluster) check(t *rapid.T) {
	for i, r := range cl.nodes {
		d := r.Digest()
		if d.Revision < cl.lastRevision[i] {
			t.Fatalf("node %d reverted from %d to %d", i, cl.lastRevision[i], d.Revision)
		}
		cl.lastRevision[i] = d.Revision
		if sum, ok := cl.checksums[d.Revision]; !ok || sum != d.Checksum {
			t.Fatalf("node %d is at %+v, which the store never had", i, d)
		}
	}
}

// converge ends all faults and checks that every replica reaches the state of
// the store.
func (cl *cluster) converge() {
	cl.st.set(0, 0, 0)
	c, _, _, err := Load(context.Background(), cl.st)
	if err != nil {
		cl.t.Fatal(err)
	}
	s := c.Snapshot()
	_ = cl.nodes[0].ReceiveLoad(cl.now, Bulk{Snapshot: &s})
	for round := 0; round < 400 && !cl.converged(c.Digest()); round++ {
		cl.now = cl.now.Add(100 * time.Millisecond)
		for _, r := range cl.nodes {
			r.Tick(cl.now)
		}
		cl.collectMessages()
		messages := cl.pending
		cl.pending = nil
		for _, msg := range messages {
			to := nodeIndex(msg.p.To)
			cl.nodes[to].Receive(cl.now, nodeAddr(msg.from), msg.p.Message)
			if peer, ok := cl.nodes[to].BulkSource(); ok {
				_ = cl.nodes[to].ReceiveBulk(cl.now, peer, cl.nodes[nodeIndex(peer)].Bulk(cl.nodes[to].Digest()))
			}
		}
	}
	if !cl.converged(c.Digest()) {
		cl.t.Fatalf("the replicas do not converge to %+v", c.Digest())
	}
	for i, r := range cl.nodes {
		for _, e := range s.Entries {
			if got, ok := r.Catalogue().Entry(e.Service); !ok || !got.sameContent(e) || got.Number != e.Number {
				cl.t.Fatalf("node %d has %+v, want %+v", i, got, e)
			}
			for _, a := range e.Addresses {
				if r.Table().NumberOf(a) != e.Number {
					cl.t.Fatalf("node %d: service number %d for address %s, want that of %+v", i, r.Table().NumberOf(a), a, e)
				}
			}
		}
	}
}

func (cl *cluster) converged(d Digest) bool {
	for _, r := range cl.nodes {
		if !r.Digest().sameState(d) {
			return false
		}
	}
	return true
}

// Guards against accepted changes that are missing at a replica or reverted,
// caused by writes without a compare-and-swap or by relying on the order of
// messages: edits are made in a store that fails and loses answers, while
// messages between replicas are lost, repeated and reordered.
func TestReplicasNeverRevert(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cl := newCluster(t)
		t.Repeat(map[string]func(*rapid.T){
			"":        cl.check,
			"edit":    func(*rapid.T) { cl.edit() },
			"faults":  func(*rapid.T) { cl.setFaults() },
			"read":    func(*rapid.T) { cl.readStore() },
			"tick":    func(*rapid.T) { cl.tick() },
			"deliver": func(*rapid.T) { cl.deliver() },
			"finish":  func(*rapid.T) { cl.finishLoad() },
		})
		cl.converge()
	})
}

func TestDecodeNeverPanics(t *testing.T) {
	w := newWriter()
	changes := w.edit(3, 3)
	good := Message{Digest: w.state.Digest(), Changes: changes}.Encode()
	rapid.Check(t, func(t *rapid.T) {
		data := append([]byte(nil), good[:rapid.IntRange(0, len(good)).Draw(t, "cut")]...)
		for range rapid.IntRange(0, 4).Draw(t, "flips") {
			if len(data) > 0 {
				data[rapid.IntRange(0, len(data)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "byte")
			}
		}
		r := NewReplica(ReplicaConfig{Peers: func(int) []netip.AddrPort { return nil }})
		if m, err := DecodeMessage(data); err == nil {
			r.Receive(epoch, nodeAddr(1), m)
		}
		_, _ = ReadBulk(bytes.NewReader(data))
		_, _ = DecodeHead(data)
	})
}
