package membership

import (
	"net/netip"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"
)

func drawRecord(t *rapid.T) Record {
	ip := [4]byte(rapid.SliceOfN(rapid.Byte(), 4, 4).Draw(t, "ip"))
	label := rapid.StringMatching(`[a-z0-9-]{1,32}`)
	return Record{
		Addr:        netip.AddrPortFrom(netip.AddrFrom4(ip), rapid.Uint16Min(1).Draw(t, "port")),
		Role:        Role(rapid.IntRange(1, 2).Draw(t, "role")),
		State:       State(rapid.IntRange(1, 4).Draw(t, "state")),
		Verdict:     Verdict(rapid.IntRange(0, 2).Draw(t, "verdict")),
		Weight:      rapid.Uint8().Draw(t, "weight"),
		Service:     rapid.Uint32().Draw(t, "service"),
		Incarnation: rapid.Uint64().Draw(t, "incarnation"),
		Version:     rapid.Uint32().Draw(t, "version"),
		Bulk:        rapid.Uint16().Draw(t, "bulk"),
		Admin:       rapid.Uint16().Draw(t, "admin"),
		Zone:        label.Draw(t, "zone"),
		Region:      label.Draw(t, "region"),
	}
}

func TestRecordSizeIsExact(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := drawRecord(rt)
		b, err := cbor.Marshal(&r)
		if err != nil {
			rt.Fatal(err)
		}
		if len(b) != r.size() {
			rt.Fatalf("%+v takes %d bytes, size returns %d", r, len(b), r.size())
		}
		d := Delta{Addr: r.Addr, Incarnation: r.Service, Version: r.Version, State: r.State, Weight: r.Weight}
		if b, err = cbor.Marshal(&d); err != nil || len(b) != d.size() {
			rt.Fatalf("%+v takes %d bytes, size returns %d (%v)", d, len(b), d.size(), err)
		}
	})
}

// Guards against messages above the size limit, which are dropped: a message is
// filled by its estimated size, and the encoding is larger than the estimate.
func TestFullMessagesFit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := &Message{
			Kind: KindGossip, Flags: 255, Incarnation: 1 << 63, Version: 1 << 31, Hash: 1 << 63, Count: 1 << 31,
			Index: 1 << 15, EntryVersion: 1 << 63,
		}
		m.Hashes = make([]byte, rapid.IntRange(0, 64).Draw(rt, "hashes")*hashLen)
		for r := drawRecord(rt); m.size()+r.size() <= MaxMessage; r = drawRecord(rt) {
			m.Records = append(m.Records, r)
		}
		b, err := Encode(m)
		if err != nil {
			rt.Fatal(err)
		}
		got, err := Decode(b)
		if err != nil {
			rt.Fatal(err)
		}
		for i := range m.Records {
			if got.Records[i] != m.Records[i] {
				rt.Fatalf("%+v came back as %+v", m.Records[i], got.Records[i])
			}
		}
	})
}

func TestDecodeRefuses(t *testing.T) {
	good := Record{Addr: netip.MustParseAddrPort("10.2.0.1:7000"), Role: RoleAgent, State: StateReady, Zone: "a"}
	bad := map[string]func(*Message){
		"no zone":       func(m *Message) { m.Records[0].Zone = "" },
		"state":         func(m *Message) { m.Records[0].State = 9 },
		"role":          func(m *Message) { m.Records[0].Role = 9 },
		"verdict":       func(m *Message) { m.Records[0].Verdict = 9 },
		"no port":       func(m *Message) { m.Records[0].Addr = netip.AddrPortFrom(good.Addr.Addr(), 0) },
		"IPv6":          func(m *Message) { m.Peers = []netip.AddrPort{netip.MustParseAddrPort("[::1]:1")} },
		"hashes":        func(m *Message) { m.Hashes = []byte{1} },
		"witnesses":     func(m *Message) { m.Zones = []ZoneStatus{{Zone: "a", Witnesses: make([]uint64, 9)}} },
		"delta":         func(m *Message) { m.Deltas = []Delta{{Addr: good.Addr, State: 9}} },
		"zone unnamed":  func(m *Message) { m.Zones = []ZoneStatus{{}} },
		"region's size": func(m *Message) { m.Records[0].Region = string(make([]byte, MaxLabel+1)) },
	}
	for name, spoil := range bad {
		m := &Message{Kind: KindGossip, Records: []Record{good}}
		spoil(m)
		b, err := cbor.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Decode(b); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
	if _, err := Decode([]byte("garbage")); err == nil {
		t.Error("garbage accepted")
	}
}
