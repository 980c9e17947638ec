package membership

import (
	"net/netip"
	"time"
)

// Delta holds the fields of a Record that can change within one incarnation.
// Most gossip is about processes that the receiver knows, and a Delta takes less
// than half the bytes of a Record.
type Delta struct {
	_ struct{} `cbor:",toarray"`

	Addr        netip.AddrPort
	Incarnation uint32 // digest of Record.Incarnation
	Version     uint32
	State       State
	Verdict     Verdict
	Weight      uint8
}

// maxRequestedRecords bounds the records requested after one message with deltas.
const maxRequestedRecords = 40

const sizeDelta = 10 // the parts of a Delta that have a fixed size

func (d *Delta) size() int {
	n := sizeDelta + sizeUint(uint64(d.Incarnation))
	return n + sizeUint(uint64(d.Version)) + sizeUint(uint64(d.Weight))
}

func (d *Delta) check() error {
	bad := !d.Addr.Addr().Is4() || d.State < StateStarting || d.State > StateLeaving || d.Verdict > VerdictDead
	if bad {
		return &MessageError{"delta field out of bounds", "count and drop the datagram"}
	}
	return nil
}

func shortIncarnation(i uint64) uint32 { return uint32(mix(i)) }

func (c *cell) delta() Delta {
	return Delta{
		Addr: c.key.addrPort(), Incarnation: shortIncarnation(c.incarnation),
		Version: c.version, State: c.state, Verdict: c.verdict, Weight: c.weight,
	}
}

// mergeDelta applies a delta. It returns false if the record of that incarnation isn't
// known here and has to be requested.
func (m *Machine) mergeDelta(now time.Time, d *Delta) bool {
	c := m.members.find(keyOf(d.Addr))
	if c == nil || shortIncarnation(c.incarnation) != d.Incarnation {
		return false
	}
	rec := m.members.record(c)
	rec.Version, rec.State, rec.Verdict, rec.Weight = d.Version, d.State, d.Verdict, d.Weight
	m.merge(now, &rec, 0)
	return true
}

// mergeDeltas applies deltas and requests missing records from the sender. For a
// delta of an earlier incarnation this request is useless, but cheap.
func (m *Machine) mergeDeltas(now time.Time, from netip.AddrPort, list []Delta) {
	var want []netip.AddrPort
	for i := range list {
		if !m.mergeDelta(now, &list[i]) && len(want) < maxRequestedRecords {
			want = append(want, list[i].Addr)
		}
	}
	if len(want) > 0 && m.tokens > 0 {
		m.send(from, &Message{Kind: KindRecordRequest, Peers: want})
	}
}
