package lab

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/hemlockscale/hemlockscale/catalogue"
	"github.com/hemlockscale/hemlockscale/lab/simtime"
)

// TargetEntries is the target number of entries: 33,000 addresses with one per
// entry, the division that gives the largest catalogue.
const TargetEntries = 33_000

// Writer generates valid changes without a store.
type Writer struct {
	State     *catalogue.Catalogue // with all changes generated so far
	NextEntry int                  // number of the next entry
}

// NewWriter returns a Writer with an empty catalogue.
func NewWriter() *Writer { return &Writer{State: catalogue.New()} }

// Edit returns changes of count entries, at most catalogue.MaxEdit, cycling over
// the given number of services.
func (w *Writer) Edit(count, services int) []catalogue.Change {
	e := catalogue.Edit{Editor: "ayse.yilmaz", Owner: "kanatpar"}
	for range count {
		e.Put = append(e.Put, w.entry(w.NextEntry%services))
		w.NextEntry++
	}
	changes, err := w.State.Plan(e, w.editID(), simtime.Epoch)
	for i := 0; err == nil && i < len(changes); i++ {
		err = w.State.Apply(changes[i])
	}
	if err != nil {
		panic(&FaultError{"edit of valid entries", err})
	}
	return changes
}

// editID returns an edit ID that depends only on the writer's state. With a
// random one, the size of the changes and thus the times of bulk streams would
// differ between runs.
func (w *Writer) editID() catalogue.EditID {
	var id catalogue.EditID
	binary.BigEndian.PutUint64(id[:8], w.State.Revision())
	binary.BigEndian.PutUint64(id[8:], rand.New(rand.NewPCG(w.State.Revision(), uint64(w.NextEntry))).Uint64())
	return id
}

func (w *Writer) entry(k int) catalogue.Entry {
	return catalogue.Entry{
		Service: "listing-" + ServiceName(k), Owner: "kanatpar", Class: catalogue.ClassStream,
		Addresses: []netip.Addr{netip.AddrFrom4([4]byte{100, byte(k >> 16), byte(k >> 8), byte(k)})},
		Limits:    catalogue.Limits{Connections: 2000, Slots: 1 + (w.NextEntry+1)%catalogue.MaxSlots, Deadline: 10 * time.Second},
	}
}

// ServiceName returns eight letters that encode the decimal digits of k, the
// lowest digit first.
func ServiceName(k int) string {
	const letters = "abcdefghij"
	name := []byte("00000000")
	for i := range name {
		name[i] = letters[k%10]
		k /= 10
	}
	return string(name)
}

// RandomSnapshot returns a catalogue of the target size whose names, owners,
// addresses and limits are random, so that it compresses no better than a real
// one.
func RandomSnapshot() catalogue.Snapshot {
	rng := rand.New(rand.NewPCG(3, 3))
	classes := []catalogue.Class{catalogue.ClassInteractive, catalogue.ClassStream, catalogue.ClassDownload}
	s := catalogue.Snapshot{Next: TargetEntries + 1}
	for n := range uint32(TargetEntries) {
		s.Entries = append(s.Entries, catalogue.Entry{
			Service:   fmt.Sprintf("svc-%08x", rng.Uint32()),
			Owner:     fmt.Sprintf("owner-%d", rng.IntN(300)),
			Addresses: []netip.Addr{netip.AddrFrom4([4]byte{10, byte(rng.Uint32()), byte(rng.Uint32()), byte(rng.Uint32())})},
			Class:     classes[rng.IntN(len(classes))],
			Limits: catalogue.Limits{
				Connections: 100 * rng.IntN(50), Slots: rng.IntN(20), Queue: rng.IntN(200),
				Deadline: time.Duration(rng.IntN(30)) * time.Second,
			},
			Number:  n + 1,
			Version: 1 + rng.Uint64N(50),
		})
	}
	s.Digest = catalogue.Digest{Revision: 1_000_000, Checksum: catalogue.Checksum(rng.Uint64())}
	return s
}
