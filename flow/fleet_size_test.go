package flow

import (
	"encoding/binary"
	"net/netip"
	"testing"
	"time"

	"github.com/hemlockscale/hemlockscale/placement"
)

// largeFleet is a number of agents of one service that needs every mechanism that keeps a
// balancer's cost bounded.
const largeFleet = 700

// fleetAddr returns the address of the n-th agent of a large fleet.
func fleetAddr(n int) netip.AddrPort {
	var ip [4]byte
	binary.BigEndian.PutUint32(ip[:], 10<<24|1<<16+uint32(n))
	return netip.AddrPortFrom(netip.AddrFrom4(ip), 7700)
}

// Guards against flows that are placed without regard to load in a large fleet: the table of
// loads had space for 64 agents, whatever their number.
func TestLoadOfEveryAgentIsKnown(t *testing.T) {
	now := time.Unix(1000, 0)
	d := NewDirector(now, DirectorConfig{Zone: "a"}, nil)
	for n := range largeFleet {
		d.FromAgent(now, fleetAddr(n), &Message{Kind: Report, State: ServerReady, Service: listing, Occupancy: placement.Occupancy(n % 200)}, nil, nil)
	}
	unknown := 0
	for n := range largeFleet {
		if o, _, ok := d.load.Get(fleetAddr(n), now); !ok || o != placement.Occupancy(n%200) {
			unknown++
		}
	}
	if unknown > 0 {
		t.Errorf("the load of %d of %d agents is not known", unknown, largeFleet)
	}
}
