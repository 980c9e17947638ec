// Package content makes the bodies that backend server stand-ins send, so that
// callers can check every byte they receive without a second copy.
package content

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
)

// Source is a reproducible stream of bytes. Every service and seed has its own
// stream, so that a body of another service or request is never taken for the
// one asked for.
type Source struct {
	rng *rand.ChaCha8
}

// New returns the stream of a service and seed.
func New(service string, seed uint64) *Source {
	var key [32]byte
	binary.BigEndian.PutUint64(key[:], seed)
	copy(key[8:], service)
	return &Source{rng: rand.NewChaCha8(key)}
}

// Read fills b with the next bytes of the stream. It never fails.
func (s *Source) Read(b []byte) (int, error) { return s.rng.Read(b) }

// Event is the n-th line of a feed, counted from 0.
func Event(service string, seed uint64, n int) string {
	return fmt.Sprintf("%s %d %d\n", service, seed, n)
}

// Card is the body of a short answer.
func Card(service, id string) string {
	return fmt.Sprintf("{\"service\":%q,\"id\":%q}\n", service, id)
}
