// Package connid mints and decodes routable QUIC connection IDs.
//
// A connection ID is one key number byte followed by one AES block. The block
// holds the agent's address, the service number and random bytes. A balancer can
// route a packet by the ID alone, without any state per flow. An observer without
// the fleet key cannot link two IDs of one connection. An ID forged without the key
// decodes to an arbitrary target; comparing Target.Service with the expected service
// rejects it, except by chance.
package connid

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"net/netip"
)

const (
	// Len is the length of a connection ID in bytes (RFC 9000 allows 20).
	Len = 1 + aes.BlockSize
	// KeyLen is the length of a fleet key in bytes (AES-128).
	KeyLen = 16

	agentOffset   = 0
	portOffset    = 4
	serviceOffset = 6
	randomOffset  = 10
)

// Target is the content of a connection ID.
type Target struct {
	Agent   netip.AddrPort // IPv4 address of the agent that holds the connection
	Service uint32         // service number in the catalogue
}

// Key is a fleet key and its number.
type Key struct {
	Number byte
	Secret [KeyLen]byte
}

// Codec mints IDs with its first key and decodes IDs of any of its keys. It is
// safe for concurrent use.
type Codec struct {
	mintKey byte
	ciphers [256]cipher.Block
}

// KeyError reports which key of a set is invalid, why, and the remedy.
type KeyError struct {
	Number byte
	Reason string
	Remedy string
}

func (e *KeyError) Error() string {
	return fmt.Sprintf("fleet key %d: %s; %s", e.Number, e.Reason, e.Remedy)
}

// NewCodec returns a codec that mints with keys[0] and accepts IDs of all keys.
// Two keys are valid at the same time while a fleet key is being rotated. The
// error is a *KeyError.
func NewCodec(keys ...Key) (*Codec, error) {
	if len(keys) == 0 {
		return nil, &KeyError{Reason: "no key given", Remedy: "give at least one fleet key"}
	}
	c := &Codec{mintKey: keys[0].Number}
	for _, k := range keys {
		if c.ciphers[k.Number] != nil {
			return nil, &KeyError{Number: k.Number, Reason: "number used twice", Remedy: "give each key its own number"}
		}
		b, err := aes.NewCipher(k.Secret[:])
		if err != nil {
			return nil, &KeyError{Number: k.Number, Reason: err.Error(), Remedy: "give 16 random bytes"}
		}
		c.ciphers[k.Number] = b
	}
	return c, nil
}

// Mint returns a new connection ID for t, with random bytes that make it differ from
// other IDs for the same target. It panics if t.Agent has no IPv4 address.
func (c *Codec) Mint(t Target) [Len]byte {
	var id [Len]byte
	id[0] = c.mintKey
	plain := id[1:]
	ip := t.Agent.Addr().As4()
	copy(plain[agentOffset:], ip[:])
	binary.BigEndian.PutUint16(plain[portOffset:], t.Agent.Port())
	binary.BigEndian.PutUint32(plain[serviceOffset:], t.Service)
	rand.Read(plain[randomOffset:])
	c.ciphers[c.mintKey].Encrypt(plain, plain)
	return id
}

// Reader decodes connection IDs without allocating. It is not safe for concurrent
// use: each goroutine that decodes IDs needs its own.
type Reader struct {
	codec *Codec
	plain [aes.BlockSize]byte
}

// Reader returns a reader of the codec's IDs.
func (c *Codec) Reader() *Reader {
	return &Reader{codec: c}
}

// Read decodes id. ok is false for an ID of another length or of an unknown key.
// A forged ID decodes to an arbitrary target: the caller must compare
// Target.Service with the service that it expects.
func (r *Reader) Read(id []byte) (t Target, ok bool) {
	if len(id) != Len {
		return Target{}, false
	}
	b := r.codec.ciphers[id[0]]
	if b == nil {
		return Target{}, false
	}
	b.Decrypt(r.plain[:], id[1:])
	addr := netip.AddrFrom4([4]byte(r.plain[agentOffset:portOffset]))
	t.Agent = netip.AddrPortFrom(addr, binary.BigEndian.Uint16(r.plain[portOffset:]))
	t.Service = binary.BigEndian.Uint32(r.plain[serviceOffset:])
	return t, true
}
