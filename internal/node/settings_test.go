package node

import (
	"net/netip"
	"slices"
	"testing"
	"time"
)

func TestChangesNeedingRestart(t *testing.T) {
	before := Settings{Zone: "a", Packets: netip.MustParseAddrPort("10.0.0.1:8172"), MaxFlowAge: time.Minute}
	after := before
	after.MaxFlowAge = time.Second
	after.Seeds = []netip.Addr{netip.MustParseAddr("10.0.0.2")}
	if got := before.ChangesNeedingRestart(&after); len(got) != 0 {
		t.Errorf("settings that apply at once are reported: %v", got)
	}
	after.Zone = "b"
	after.Packets = netip.MustParseAddrPort("10.0.0.1:8173")
	if got := before.ChangesNeedingRestart(&after); !slices.Equal(got, []string{"zone", "packet address"}) {
		t.Errorf("changes that need a restart: %v, want the zone and the packet address", got)
	}
}
