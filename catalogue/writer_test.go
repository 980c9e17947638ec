package catalogue

import (
	"net/netip"
	"time"
)

var epoch = time.Unix(1_700_000_000, 0)

func nodeAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7000)
}

func nodeIndex(a netip.AddrPort) int {
	b := a.Addr().As4()
	return int(b[1])<<16 | int(b[2])<<8 | int(b[3])
}

// writer generates valid changes without a store.
type writer struct {
	state     *Catalogue
	nextEntry int
}

func newWriter() *writer { return &writer{state: New()} }

// edit returns changes of count entries, cycling over the given number of
// services.
func (w *writer) edit(count, services int) []Change {
	e := Edit{Editor: "ayse.yilmaz", Owner: "kanatpar"}
	for range count {
		k := w.nextEntry % services
		w.nextEntry++
		ent := Entry{
			Service: "listing-" + serviceName(k), Owner: "kanatpar", Class: ClassStream,
			Addresses: []netip.Addr{netip.AddrFrom4([4]byte{100, byte(k >> 16), byte(k >> 8), byte(k)})},
			Limits:    Limits{Connections: 2000, Slots: 1 + w.nextEntry%MaxSlots, Deadline: 10 * time.Second},
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

// serviceName returns eight letters that encode the decimal digits of k, the
// lowest digit first.
func serviceName(k int) string {
	const letters = "abcdefghij"
	name := []byte("00000000")
	for i := range name {
		name[i] = letters[k%10]
		k /= 10
	}
	return string(name)
}
