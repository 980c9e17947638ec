package lab

import (
	"time"

	"github.com/hemlockscale/hemlockscale/catalogue"
)

// storeReaders is the number of nodes that read the store, like the holders of
// the contact slots of one availability zone.
const storeReaders = 3

// propagationTimes makes edits of count entries, one per gap; changes is their
// number. It returns the times from the edit in the store until the change is in
// force, for every pair of node and change.
func propagationTimes(x *Exchange, w *Writer, changes, count int, gap time.Duration) []time.Duration {
	var times []time.Duration
	changedAt := make(map[uint64]time.Time)
	reached := make([]uint64, len(x.Nodes))
	x.OnProgress = func(i int) {
		now := x.Nodes[i].Digest().Revision
		for rev := reached[i] + 1; rev <= now; rev++ {
			if at, ok := changedAt[rev]; ok {
				times = append(times, x.Now().Sub(at))
			}
		}
		reached[i] = now
	}
	for range changes {
		list := w.Edit(count, 1<<20)
		changedAt[w.State.Revision()] = x.Now()
		for i := range min(storeReaders, len(x.Nodes)) {
			x.Update(i, func(r *catalogue.Replica) { _ = r.ReceiveLoad(x.Now(), catalogue.Bulk{Changes: list}) })
		}
		x.Run(gap, nil)
	}
	x.Run(time.Minute, x.Converged(w.State.Digest()))
	return times
}

// SpreadResult holds the propagation times of single changes and their cost.
type SpreadResult struct {
	Times           []time.Duration // time until in force, for every pair of node and change
	Missing         int             // pairs of node and change not in force at the end
	Messages, Bytes float64         // per change and node, without the digests sent when idle
	IdleBytes       float64         // bytes per second and node when idle
}

// Spread makes single changes, 3 s apart, in an exchange of n nodes, of which 3
// read the store. It measures the propagation time of each change and its cost,
// less the traffic when idle.
func Spread(seed uint64, n, changes int, loss float64, cfg catalogue.ReplicaConfig) SpreadResult {
	const gap = 3 * time.Second
	length := time.Duration(changes) * gap
	idle := NewExchange(n, loss, seed, cfg)
	idle.Run(length, nil)

	x := NewExchange(n, loss, seed, cfg)
	r := SpreadResult{Times: propagationTimes(x, NewWriter(), changes, 1, gap)}
	r.Missing = n*changes - len(r.Times)
	share := x.Elapsed().Seconds() / length.Seconds()
	nodeChanges := float64(n * changes)
	r.Messages = (float64(x.Messages) - float64(idle.Messages)*share) / nodeChanges
	r.Bytes = (float64(x.Bytes) - float64(idle.Bytes)*share) / nodeChanges
	r.IdleBytes = float64(idle.Bytes) / length.Seconds() / float64(n)
	return r
}

// BulkResult holds the result of an experiment with bulk loads.
type BulkResult struct {
	Times         []time.Duration // time until in force, for every pair of node and edit
	Took          time.Duration   // time until all nodes had converged, or until the run ended
	InForce       bool            // whether all nodes converged
	DatagramBytes float64         // mean bytes sent in datagrams per node
	BulkBytes     float64         // mean bytes of bulk loads per node
	Bulks         float64         // mean number of bulk loads per node
}

// bulkResult returns the result of a run. converged reports whether all nodes have
// converged, and before is the value of x.Bytes at the beginning of the
// experiment.
func (x *Exchange) bulkResult(converged func() bool, before int) BulkResult {
	n := float64(len(x.Nodes))
	return BulkResult{
		InForce: converged(), Took: x.Elapsed(), DatagramBytes: float64(x.Bytes-before) / n,
		BulkBytes: float64(x.BulkBytes) / n, Bulks: float64(x.Bulks) / n,
	}
}

// BulkEdit makes edits of catalogue.MaxEdit entries each, without a pause between
// them, in an exchange of n nodes.
func BulkEdit(seed uint64, n, edits int, loss float64) BulkResult {
	x := NewExchange(n, loss, seed, catalogue.ReplicaConfig{})
	x.Run(time.Second, nil)
	before, w := x.Bytes, NewWriter()
	times := propagationTimes(x, w, edits, catalogue.MaxEdit, 0)
	r := x.bulkResult(x.Converged(w.State.Digest()), before)
	r.Times = times
	return r
}

// ColdStart starts n nodes, as after a power failure. One of them has a catalogue
// of the target size, and the others load it from that node and from each other,
// with 5 % loss.
func ColdStart(seed uint64, n int) BulkResult {
	s := RandomSnapshot()
	x := NewExchange(n, 0.05, seed, catalogue.ReplicaConfig{})
	if err := x.Nodes[0].ReceiveLoad(x.Now(), catalogue.Bulk{Snapshot: &s}); err != nil {
		panic(&FaultError{"load of a catalogue of the target size", err})
	}
	in := x.Converged(s.Digest)
	x.Run(5*time.Minute, in)
	return x.bulkResult(in, 0)
}
