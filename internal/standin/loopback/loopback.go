// Package loopback reserves loopback addresses and ports for each test run, so that
// test runs on the same machine don't disturb each other.
package loopback

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
)

const (
	first = 10  // lowest n of the networks 127.n.x.y
	count = 200 // number of networks
	// lockPort is the port of 127.n.0.1 on which a reserved network has a listener.
	lockPort = 7700
	// firstPort is above the default ports of the programs under test. All ports
	// that Port returns are below 32768, the start of the ephemeral port range of
	// Linux.
	firstPort = 20000
	// portsPerNetwork is the number of ports reserved with one network.
	portsPerNetwork = 32
)

var reservations atomic.Uint32

// Network is the range of addresses 127.n.x.y for one n. A listener reserves it: if n
// were only chosen at random, two test runs on one machine could get the same network
// and disturb each other.
type Network struct {
	n  byte
	ln net.Listener
}

// FullError reports that all networks are reserved.
type FullError struct{}

func (*FullError) Error() string {
	return "no free loopback network; wait until other test runs on this machine have ended"
}

// Reserve reserves a network that no other test run uses. It returns a *FullError if there
// is none.
func Reserve() (*Network, error) {
	for range count {
		w := &Network{n: byte(first + (uint32(os.Getpid())+reservations.Add(1))%count)}
		ln, err := net.Listen("tcp4", netip.AddrPortFrom(w.Addr(0, 0), lockPort).String())
		if err == nil {
			w.ln = ln
			return w, nil
		}
	}
	return nil, &FullError{}
}

// Addr returns the i-th address of a kind of process, both counted from 0.
func (w *Network) Addr(kind, i int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, w.n, byte(kind), byte(i + 1)})
}

// Port returns the i-th port, counted from 0 to portsPerNetwork-1, for a socket that
// listens on all addresses of the machine. A port found free by probing could be
// assigned to another socket a moment later. The ports returned here are outside the
// ephemeral range, and no other network has them.
func (w *Network) Port(i int) uint16 {
	if i < 0 || i >= portsPerNetwork {
		panic(fmt.Sprintf("loopback: port %d of %d; raise portsPerNetwork", i, portsPerNetwork))
	}
	return firstPort + uint16(w.n)*portsPerNetwork + uint16(i)
}

// Release releases the network for other test runs.
func (w *Network) Release() { w.ln.Close() }
