// Package loopback gives each trial on one machine loopback addresses of its
// own.
package loopback

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
)

const (
	first = 10
	count = 200
	// lockPort is the port of 127.net.0.1 that tells a network as taken.
	lockPort = 7700
	// firstPort is above the ports that programs of the trials listen on by
	// default, and all that Port returns is below 32768, where Linux begins to
	// give ports to sockets that ask for any.
	firstPort = 20000
	// portsPerNetwork is the number of ports of one network.
	portsPerNetwork = 32
)

var reservations atomic.Uint32

// Network is the addresses 127.n.x.y for one n. It is held by a listener: were
// networks only told apart by a number drawn, two trials on one machine would
// now and then get the same and disturb each other.
type Network struct {
	n  byte
	ln net.Listener
}

// FullError reports that every network is taken.
type FullError struct{}

func (*FullError) Error() string {
	return "no free loopback network; wait until other trials on this machine have ended"
}

// Reserve returns a network that no other trial has.
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

// Addr returns the i-th address of a kind, both counted from 0.
func (w *Network) Addr(kind, i int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, w.n, byte(kind), byte(i + 1)})
}

// Port returns the i-th port, counted from 0 to portsEach-1, for a socket that
// listens on all addresses of the machine. A port that was free when somebody
// looked may be taken a moment later by any socket that asks for one; these are
// given to no socket that does not name them, and to no other trial.
func (w *Network) Port(i int) uint16 {
	if i < 0 || i >= portsPerNetwork {
		panic(fmt.Sprintf("loopback: port %d of %d; raise portsEach", i, portsPerNetwork))
	}
	return firstPort + uint16(w.n)*portsPerNetwork + uint16(i)
}

// Release gives the network back.
func (w *Network) Release() { w.ln.Close() }
