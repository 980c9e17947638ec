package placement

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

const (
	golden = 0x9e3779b97f4a7c15 // 2^64 divided by the golden ratio, odd
	mixA   = 0xbf58476d1ce4e5b9 // multipliers of the SplitMix64 finalizer
	mixB   = 0x94d049bb133111eb
)

// mix is the SplitMix64 finalizer: every input bit affects every output bit.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= mixA
	x ^= x >> 27
	x *= mixB
	return x ^ x>>31
}

// hashID hashes a caller's first connection ID under seed.
func hashID(cid []byte, seed uint64) uint64 {
	return mix(xxhash.Sum64(cid) ^ seed)
}

// portBits is the width of the port in a packed address, which holds an IPv4
// address and a port in its low 48 bits.
const portBits = 16

func pack(a netip.AddrPort) (uint64, bool) {
	ip := a.Addr().Unmap()
	if !ip.Is4() {
		return 0, false
	}
	b := ip.As4()
	return uint64(binary.BigEndian.Uint32(b[:]))<<portBits | uint64(a.Port()), true
}

func unpack(p uint64) netip.AddrPort {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], uint32(p>>portBits))
	return netip.AddrPortFrom(netip.AddrFrom4(b), uint16(p))
}
