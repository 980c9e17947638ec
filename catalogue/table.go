package catalogue

import (
	"encoding/binary"
	"math/bits"
	"net/netip"
)

// Table is an immutable index from service address to service number for the
// packet path: a hash table with open addressing and linear probing, at most
// three quarters full. The zero value is empty.
type Table struct {
	slots []slot
	shift uint
	n     int
}

type slot struct {
	addr   uint32
	number uint32 // 0 marks a free slot
}

// hashFactor is 2^32 divided by the golden ratio (Fibonacci hashing): the high
// bits of a product with it differ for addresses that differ only in their last
// bytes.
const hashFactor = 2654435769

// Table builds the index of the state's addresses.
func (c *Catalogue) Table() *Table {
	n := len(c.addresses)
	size := 1 << bits.Len(uint(n+n/3)) // above n, so that a lookup of a missing address finds a free slot
	t := &Table{slots: make([]slot, size), shift: uint(32 - bits.TrailingZeros(uint(size))), n: n}
	for a, number := range c.addresses {
		t.insert(addrKey(a.As4()), number)
	}
	return t
}

// Len returns the number of addresses.
func (t *Table) Len() int { return t.n }

// Number returns the service number of an address, or 0 if there is none. It
// does not allocate. A nil Table is empty.
func (t *Table) Number(addr [4]byte) uint32 {
	if t == nil || t.n == 0 {
		return 0
	}
	key := addrKey(addr)
	mask := uint32(len(t.slots) - 1)
	for i := key * hashFactor >> t.shift; ; i++ {
		s := t.slots[i&mask]
		if s.number == 0 || s.addr == key {
			return s.number
		}
	}
}

// NumberOf is like Number for a netip.Addr. It returns 0 for an address that is
// not IPv4.
func (t *Table) NumberOf(a netip.Addr) uint32 {
	if !a.Is4() {
		return 0
	}
	return t.Number(a.As4())
}

func (t *Table) insert(key, number uint32) {
	mask := uint32(len(t.slots) - 1)
	i := key * hashFactor >> t.shift
	for t.slots[i&mask].number != 0 {
		i++
	}
	t.slots[i&mask] = slot{key, number}
}

func addrKey(addr [4]byte) uint32 { return binary.BigEndian.Uint32(addr[:]) }
