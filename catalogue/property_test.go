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

type bulkLoad struct {
	to   int
	from netip.AddrPort
	b    Bulk
}

type pendingMessage struct {
	from int
	p    Packet
}

func newCluster(t *rapid.T) *cluster {
	w := &cluster{t: t, st: newMemStore(rapid.Uint64().Draw(t, "seed")), now: epoch, checksums: map[uint64]Checksum{0: 0}}
	w.ed = &Editor{Store: w.st, Now: func() time.Time { return w.now }}
	if rapid.Bool().Draw(t, "small") {
		w.ed.sizes = smallSizes
	}
	n := rapid.IntRange(2, 6).Draw(t, "nodes")
	w.lastRevision = make([]uint64, n)
	for i := range n {
		w.nodes = append(w.nodes, NewReplica(ReplicaConfig{
			BulkGap: 6, Keep: 8,
			Peers: func(k int) []netip.AddrPort { return w.peers(i, k) },
		}))
	}
	return w
}

func (w *cluster) peers(i, k int) []netip.AddrPort {
	var all []netip.AddrPort
	for j := range w.nodes {
		if j != i {
			all = append(all, nodeAddr(j))
		}
	}
	w.st.rng.Shuffle(len(all), func(a, b int) { all[a], all[b] = all[b], all[a] })
	return all[:min(k, len(all))]
}

func (w *cluster) edit() {
	e := Edit{Editor: "ayse", Owner: "kanatpar"}
	for _, k := range rapid.SliceOfNDistinct(rapid.IntRange(0, 9), 1, 4, rapid.ID[int]).Draw(w.t, "services") {
		service := fmt.Sprintf("s%d", k)
		if rapid.IntRange(0, 3).Draw(w.t, "op") == 0 {
			e.Delete = append(e.Delete, service)
			continue
		}
		addr := fmt.Sprintf("10.0.0.%d", rapid.IntRange(1, 12).Draw(w.t, "address"))
		ent := entry(service, "kanatpar", addr)
		ent.Limits.Slots = rapid.IntRange(1, 3).Draw(w.t, "slots")
		e.Put = append(e.Put, ent)
	}
	_, err := w.ed.Apply(context.Background(), e)
	var refused *RefusedError
	var unknown *UnknownOutcomeError
	if err != nil && !errors.As(err, &refused) && !errors.As(err, &unknown) {
		w.t.Fatalf("edit: %v", err)
	}
	w.checkStore()
}

// checkStore reads the store without faults, records its revisions and checks
// that they are consecutive and never overwritten.
func (w *cluster) checkStore() {
	down, lose, drop := w.st.down, w.st.lose, w.st.drop
	w.st.set(0, 0, 0)
	defer w.st.set(down, lose, drop)
	h, _, err := ReadHead(context.Background(), w.st)
	if err != nil {
		w.t.Fatal(err)
	}
	changes, err := h.changesAfter(context.Background(), w.st, 0)
	if err != nil {
		w.t.Fatal(err)
	}
	for i, ch := range changes {
		if want := h.oldest() + uint64(i) + 1; ch.Revision != want {
			w.t.Fatalf("revision %d, want %d", ch.Revision, want)
		}
		if old, ok := w.checksums[ch.Revision]; ok && old != ch.Checksum {
			w.t.Fatalf("revision %d was overwritten", ch.Revision)
		}
		w.checksums[ch.Revision] = ch.Checksum
	}
}

func (w *cluster) node() int { return rapid.IntRange(0, len(w.nodes)-1).Draw(w.t, "node") }

func (w *cluster) readStore() {
	i := w.node()
	v, err := w.st.Get(context.Background(), HeadKey)
	if err != nil {
		return
	}
	h, err := DecodeHead(v.Data)
	if err != nil {
		w.t.Fatal(err)
	}
	if !w.nodes[i].ReceiveHead(w.now, h) {
		return
	}
	if b, err := LoadSince(context.Background(), w.st, w.nodes[i].Digest()); err == nil {
		_ = w.nodes[i].ReceiveLoad(w.now, b)
	}
}

func (w *cluster) tick() {
	w.now = w.now.Add(time.Duration(rapid.IntRange(1, 700).Draw(w.t, "ms")) * time.Millisecond)
	w.nodes[w.node()].Tick(w.now)
}

func (w *cluster) collectMessages() {
	for i, r := range w.nodes {
		for _, p := range r.Outgoing() {
			w.pending = append(w.pending, pendingMessage{i, p})
		}
	}
}

// deliver delivers a random pending message, which stays pending in half of the
// cases.
func (w *cluster) deliver() {
	w.collectMessages()
	if len(w.pending) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.pending)-1).Draw(w.t, "message")
	l := w.pending[i]
	if rapid.Bool().Draw(w.t, "once") {
		w.pending = append(w.pending[:i], w.pending[i+1:]...)
	}
	m, err := DecodeMessage(l.p.Message.Encode())
	if err != nil {
		w.t.Fatal(err)
	}
	w.nodes[nodeIndex(l.p.To)].Receive(w.now, nodeAddr(l.from), m)
	w.startLoad(nodeIndex(l.p.To))
}

func (w *cluster) startLoad(i int) {
	peer, ok := w.nodes[i].BulkSource()
	if !ok {
		return
	}
	if rapid.IntRange(0, 3).Draw(w.t, "bulk") == 0 {
		w.nodes[i].BulkFailed()
		return
	}
	var buf bytes.Buffer
	if err := w.nodes[nodeIndex(peer)].Bulk(w.nodes[i].Digest()).Write(&buf); err != nil {
		w.t.Fatal(err)
	}
	b, err := ReadBulk(&buf)
	if err != nil {
		w.t.Fatal(err)
	}
	w.loads = append(w.loads, bulkLoad{i, peer, b})
}

// finishLoad completes a random bulk load in progress.
func (w *cluster) finishLoad() {
	if len(w.loads) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.loads)-1).Draw(w.t, "load")
	l := w.loads[i]
	w.loads = append(w.loads[:i], w.loads[i+1:]...)
	_ = w.nodes[l.to].ReceiveBulk(w.now, l.from, l.b)
}

func (w *cluster) setFaults() {
	share := rapid.SampledFrom([]float64{0, 0.3, 1})
	w.st.set(share.Draw(w.t, "down"), share.Draw(w.t, "lose"), share.Draw(w.t, "drop"))
}

// check is called after every step. It checks that no replica's revision has
// decreased and that each replica's state is one that the store has had.
func (w *cluster) check(t *rapid.T) {
	for i, r := range w.nodes {
		d := r.Digest()
		if d.Revision < w.lastRevision[i] {
			t.Fatalf("node %d reverted from %d to %d", i, w.lastRevision[i], d.Revision)
		}
		w.lastRevision[i] = d.Revision
		if sum, ok := w.checksums[d.Revision]; !ok || sum != d.Checksum {
			t.Fatalf("node %d is at %+v, which the store never had", i, d)
		}
	}
}

// converge ends all faults and checks that every replica reaches the state of
// the store.
func (w *cluster) converge() {
	w.st.set(0, 0, 0)
	c, _, _, err := Load(context.Background(), w.st)
	if err != nil {
		w.t.Fatal(err)
	}
	s := c.Snapshot()
	_ = w.nodes[0].ReceiveLoad(w.now, Bulk{Snapshot: &s})
	for round := 0; round < 400 && !w.converged(c.Digest()); round++ {
		w.now = w.now.Add(100 * time.Millisecond)
		for _, r := range w.nodes {
			r.Tick(w.now)
		}
		w.collectMessages()
		messages := w.pending
		w.pending = nil
		for _, l := range messages {
			to := nodeIndex(l.p.To)
			w.nodes[to].Receive(w.now, nodeAddr(l.from), l.p.Message)
			if peer, ok := w.nodes[to].BulkSource(); ok {
				_ = w.nodes[to].ReceiveBulk(w.now, peer, w.nodes[nodeIndex(peer)].Bulk(w.nodes[to].Digest()))
			}
		}
	}
	if !w.converged(c.Digest()) {
		w.t.Fatalf("the replicas do not converge to %+v", c.Digest())
	}
	for i, r := range w.nodes {
		for _, e := range s.Entries {
			if got, ok := r.Catalogue().Entry(e.Service); !ok || !got.sameContent(e) || got.Number != e.Number {
				w.t.Fatalf("node %d has %+v, want %+v", i, got, e)
			}
			for _, a := range e.Addresses {
				if r.Table().NumberOf(a) != e.Number {
					w.t.Fatalf("node %d: service number %d for address %s, want that of %+v", i, r.Table().NumberOf(a), a, e)
				}
			}
		}
	}
}

func (w *cluster) converged(d Digest) bool {
	for _, r := range w.nodes {
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
		w := newCluster(t)
		t.Repeat(map[string]func(*rapid.T){
			"":        w.check,
			"edit":    func(*rapid.T) { w.edit() },
			"faults":  func(*rapid.T) { w.setFaults() },
			"read":    func(*rapid.T) { w.readStore() },
			"tick":    func(*rapid.T) { w.tick() },
			"deliver": func(*rapid.T) { w.deliver() },
			"finish":  func(*rapid.T) { w.finishLoad() },
		})
		w.converge()
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
