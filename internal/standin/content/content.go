// Package content generates the bodies that simulated backend servers send, so that
// callers can check every byte without having a copy of the body.
package content

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
)

// Source is a reproducible stream of bytes. Every service and seed has a different
// stream, so that a body of another service or request is detected.
type Source struct {
	rng *rand.ChaCha8
}

// New returns the stream for a service and seed.
func New(service string, seed uint64) *Source {
	var key [32]byte
	binary.BigEndian.PutUint64(key[:], seed)
	copy(key[8:], service)
	return &Source{rng: rand.NewChaCha8(key)}
}

// Read fills b with the next bytes of the stream. It never fails.
func (s *Source) Read(b []byte) (int, error) { return s.rng.Read(b) }

// Event returns the n-th line of a feed, counted from 0.
func Event(service string, seed uint64, n int) string {
	return fmt.Sprintf("%s %d %d\n", service, seed, n)
}

// Card returns the body of a short answer.
func Card(service, id string) string {
	return fmt.Sprintf("{\"service\":%q,\"id\":%q}\n", service, id)
}
