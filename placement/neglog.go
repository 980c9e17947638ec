package placement

import "math/bits"

const (
	// logBits is the number of leading fraction bits that index the table.
	logBits = 8
	// logUnit is the fixed-point value of one binary digit.
	logUnit = 1 << 24
)

// logTable holds log2(1 + i/256) in units of 1/logUnit.
var logTable = makeLogTable()

// makeLogTable computes the logarithms digit by digit in integer arithmetic.
// Floating point could round differently on another architecture, and balancers
// with different scores would send one handshake to two agents.
func makeLogTable() [1<<logBits + 1]uint32 {
	const one = 1 << 31
	var table [1<<logBits + 1]uint32
	for i := range table {
		x := uint64(one + i*(one>>logBits))
		digits := uint32(0)
		if x == 2*one {
			table[i] = logUnit
			continue
		}
		for bit := uint32(logUnit / 2); bit > 0; bit /= 2 {
			x = x * x / one
			if x >= 2*one {
				x /= 2
				digits |= bit
			}
		}
		table[i] = digits
	}
	return table
}

// negLog returns -log2 of the fraction h/2^64 in units of 1/logUnit, at least 1.
func negLog(h uint64) uint64 {
	zeros := bits.LeadingZeros64(h | 1)
	fraction := h << (zeros + 1) // below the leading one
	row := fraction >> (64 - logBits)
	within := fraction << logBits >> 40 // the next 24 bits
	low := uint64(logTable[row])
	log := low + (uint64(logTable[row+1])-low)*within/logUnit
	return uint64(zeros+1)*logUnit - log
}
