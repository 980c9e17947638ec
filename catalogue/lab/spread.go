package lab

import (
	"time"

	"github.com/hemlockscale/hemlockscale/catalogue"
)

// holders is how many nodes of an exchange follow the store, as the contact
// slots of one availability zone.
const holders = 3

// spreadTimes gives the exchange changes of count entries, one each gap, and
// returns the times from the store's change to force, of every node and
// change.
func spreadTimes(x *Exchange, w *Writer, changes, count int, gap time.Duration) []time.Duration {
	var times []time.Duration
	begun := make(map[uint64]time.Time)
	reached := make([]uint64, len(x.Nodes))
	x.OnProgress = func(i int) {
		now := x.Nodes[i].Digest().Revision
		for rev := reached[i] + 1; rev <= now; rev++ {
			if at, ok := begun[rev]; ok {
				times = append(times, x.Now().Sub(at))
			}
		}
		reached[i] = now
	}
	for range changes {
		list := w.Edit(count, 1<<20)
		begun[w.State.Revision()] = x.Now()
		for i := range min(holders, len(x.Nodes)) {
			x.Change(i, func(r *catalogue.Replica) { _ = r.ReceiveLoad(x.Now(), catalogue.Bulk{Changes: list}) })
		}
		x.Run(gap, nil)
	}
	x.Run(time.Minute, x.Converged(w.State.Digest()))
	return times
}

// SpreadResult is how single changes came into force and what they cost.
type SpreadResult struct {
	Times           []time.Duration // of every node and change
	Missing         int             // nodes and changes not in force at the end
	Messages, Bytes float64         // of a change, a node's share, beyond the idle digests
	IdleBytes       float64         // B/s of a node
}

// Spread makes single changes in an exchange of n nodes, 3 s apart, known at
// first to 3 nodes.
func Spread(seed uint64, n, changes int, loss float64, cfg catalogue.ReplicaConfig) SpreadResult {
	const gap = 3 * time.Second
	length := time.Duration(changes) * gap
	idle := NewExchange(n, loss, seed, cfg)
	idle.Run(length, nil)

	x := NewExchange(n, loss, seed, cfg)
	r := SpreadResult{Times: spreadTimes(x, NewWriter(), changes, 1, gap)}
	r.Missing = n*changes - len(r.Times)
	share := x.Elapsed().Seconds() / length.Seconds()
	per := float64(n * changes)
	r.Messages = (float64(x.Messages) - float64(idle.Messages)*share) / per
	r.Bytes = (float64(x.Bytes) - float64(idle.Bytes)*share) / per
	r.IdleBytes = float64(idle.Bytes) / length.Seconds() / float64(n)
	return r
}

// BulkResult is how much a node loaded, and over how many streams.
type BulkResult struct {
	Times         []time.Duration // to force, of every node and edit
	Took          time.Duration   // until all nodes held all
	InForce       bool            // whether they did
	DatagramBytes float64         // sent by a node
	BulkBytes     float64         // loaded by a node
	Bulks         float64         // streams a node
}

func (x *Exchange) bulkResult(in func() bool, before int) BulkResult {
	n := float64(len(x.Nodes))
	return BulkResult{
		InForce: in(), Took: x.Elapsed(), DatagramBytes: float64(x.Bytes-before) / n,
		BulkBytes: float64(x.BulkBytes) / n, Bulks: float64(x.Bulks) / n,
	}
}

// BulkEdit makes edits of catalogue.MaxEdit entries at once in an exchange of
// n nodes.
func BulkEdit(seed uint64, n, edits int, loss float64) BulkResult {
	x := NewExchange(n, loss, seed, catalogue.ReplicaConfig{})
	x.Run(time.Second, nil)
	before, w := x.Bytes, NewWriter()
	times := spreadTimes(x, w, edits, catalogue.MaxEdit, 0)
	r := x.bulkResult(x.Converged(w.State.Digest()), before)
	r.Times = times
	return r
}

// ColdStart lets n nodes, all empty but one, load a catalogue of the target's
// size from that one and from each other, as after a power cut, with 5 % loss.
func ColdStart(seed uint64, n int) BulkResult {
	s := VariedSnapshot()
	x := NewExchange(n, 0.05, seed, catalogue.ReplicaConfig{})
	if err := x.Nodes[0].ReceiveLoad(x.Now(), catalogue.Bulk{Snapshot: &s}); err != nil {
		panic(&FaultError{"load of the target's catalogue", err})
	}
	in := x.Converged(s.Digest)
	x.Run(5*time.Minute, in)
	return x.bulkResult(in, 0)
}
