package deployment

import (
	"errors"
	"net"
	"net/netip"
	"os"
)

// The values of Config.Net that FreeNet returns.
const (
	firstFreeNet = 210
	freeNets     = 45
)

// ErrNoFreeNet is returned by FreeNet when other deployments use all nets.
var ErrNoFreeNet = errors.New("deployment: no free net; end another deployment on this machine")

// FreeNet returns a Config.Net whose addresses no other process uses. Two
// deployments of one net would fail to bind, or take each other's datagrams.
// Another process may take the net before Start does.
func FreeNet() (byte, error) {
	for i := range freeNets {
		n := byte(firstFreeNet + (os.Getpid()+i)%freeNets)
		if free(n, 1) && free(n, 2) {
			return n, nil
		}
	}
	return 0, ErrNoFreeNet
}

// free reports whether the first address of a kind can be bound.
func free(n, kind byte) bool {
	a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, n, kind, 1}), internalPort)
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(a))
	if err != nil {
		return false
	}
	c.Close()
	return true
}
