package balancer

import (
	"net/netip"
	"testing"

	"github.com/hemlockscale/hemlockscale/connid"
	"github.com/hemlockscale/hemlockscale/internal/fleetkey"
	"github.com/hemlockscale/hemlockscale/internal/frame"
)

const (
	testFleetKey = "1:000102030405060708090a0b0c0d0e0f"
	listing      = 1
	records      = 2
)

var (
	listingAgent = netip.MustParseAddrPort("10.0.0.1:7700")
	recordsAgent = netip.MustParseAddrPort("10.0.0.2:7700")
	testVia      = netip.MustParseAddrPort("10.0.1.1:7700")
)

// twoServices implements Addresses and Chooser for two services, at 198.51.100.1 and
// 198.51.100.2, with one agent each.
type twoServices struct{}

func (twoServices) Service(a [4]byte) (uint32, bool) {
	if a[0] != 198 || a[3] == 0 || a[3] > records {
		return 0, false
	}
	return uint32(a[3]), true
}

func (twoServices) Choose(service uint32, _ []byte, c *Choice) bool {
	*c = Choice{Primary: agentOf(service)}
	return true
}

func agentOf(service uint32) netip.AddrPort {
	if service == listing {
		return listingAgent
	}
	return recordsAgent
}

// FuzzForward checks that no packet to an address of one service is forwarded to an agent
// of the other, and that the header of a forwarded packet names the service.
func FuzzForward(f *testing.F) {
	ring, err := fleetkey.Parse(testFleetKey)
	if err != nil {
		f.Fatal(err)
	}
	forwarder, err := NewForwarder(ring, twoServices{}, twoServices{}, testVia)
	if err != nil {
		f.Fatal(err)
	}
	codec, err := frame.NewCodec(ring)
	if err != nil {
		f.Fatal(err)
	}
	ids, err := ring.ConnIDs()
	if err != nil {
		f.Fatal(err)
	}
	for _, service := range []uint32{listing, records} {
		id := ids.Mint(connid.Target{Agent: agentOf(service), Service: service})
		short := append([]byte{0x40}, id[:]...)
		long := append([]byte{0xc0, 0, 0, 0, 1, connid.Len}, id[:]...)
		f.Add(short, byte(listing))
		f.Add(append(long, make([]byte, 1200)...), byte(listing))
		f.Add(short, byte(9))
	}
	f.Add([]byte{}, byte(records))
	f.Add(make([]byte, frame.MaxPacket+1), byte(records))
	caller := netip.MustParseAddrPort("192.0.2.1:5000")
	f.Fuzz(func(t *testing.T, packet []byte, last byte) {
		b := append(make([]byte, frame.Len), packet...)
		agent, v := forwarder.Forward(b, caller, [4]byte{198, 51, 100, last})
		if v != Forwarded {
			return
		}
		if agent != agentOf(uint32(last)) {
			t.Fatalf("packet to service %d was forwarded to %v", last, agent)
		}
		var h frame.Header
		if !codec.Get(b, &h) || h.Service != uint32(last) || h.Caller != caller || h.Via != testVia {
			t.Fatalf("wrong or undecodable header %+v", h)
		}
	})
}
