// Package loopback gives each trial on one machine loopback addresses of its
// own.
package loopback

import (
	"net"
	"net/netip"
	"os"
	"sync/atomic"
)

const (
	first = 10
	count = 200
	// heldPort is the port of 127.net.0.1 that tells a network as taken.
	heldPort = 7700
)

var drawn atomic.Uint32

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
		w := &Network{n: byte(first + (uint32(os.Getpid())+drawn.Add(1))%count)}
		ln, err := net.Listen("tcp4", netip.AddrPortFrom(w.Addr(0, 0), heldPort).String())
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

// Release gives the network back.
func (w *Network) Release() { w.ln.Close() }
