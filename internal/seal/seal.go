// Package seal encrypts and authenticates control messages between the
// system's processes with the fleet key.
package seal

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/rand"

	"github.com/hemlockscale/hemlockscale/internal/fleetkey"
	"github.com/hemlockscale/hemlockscale/internal/frame"
)

// Topic identifies the type and the receiver of a control message.
type Topic byte

// The topics.
const (
	TopicMembership       Topic = iota + 1
	TopicCatalogue              // a catalogue.Message
	TopicVoterListRequest       // a control.VoterListRequest to a balancer
	TopicVoterList              // a control.VoterListResponse to an agent
	TopicClaim                  // an idempotency.Claim to a voter
	TopicVote                   // an idempotency.Vote to a requester
	TopicReport                 // an idempotency.Report to a voter
	TopicTrace                  // a tracing.Claim to a balancer
)

const (
	keyLen    = 16
	nonceLen  = 12
	headerLen = 3 // kind, key number, topic
	// Overhead is the number of bytes that encryption adds to a message.
	Overhead = headerLen + nonceLen + 16
)

// Box encrypts messages with its first key and decrypts them with any of its keys. It
// is safe for concurrent use.
type Box struct {
	key  byte
	aead [256]cipher.AEAD
}

// NewBox returns a box for the ring's keys.
func NewBox(ring fleetkey.Ring) (*Box, error) {
	b := &Box{key: ring[0].Number}
	for _, k := range ring {
		block, err := aes.NewCipher(k.Derive("control", keyLen))
		if err != nil {
			return nil, err
		}
		if b.aead[k.Number], err = cipher.NewGCM(block); err != nil {
			return nil, err
		}
	}
	return b, nil
}

// Seal encrypts plain and returns it as one control datagram.
func (b *Box) Seal(t Topic, plain []byte) []byte {
	out := make([]byte, headerLen+nonceLen, Overhead+len(plain))
	out[0] = byte(frame.KindControl)
	out[1] = b.key
	out[2] = byte(t)
	rand.Read(out[headerLen:])
	return b.aead[b.key].Seal(out, out[headerLen:], plain, out[:headerLen])
}

// Open decrypts datagram d. ok is false if d is malformed or was not encrypted
// with a fleet key.
func (b *Box) Open(d []byte) (t Topic, plain []byte, ok bool) {
	if len(d) < Overhead || d[0] != byte(frame.KindControl) {
		return 0, nil, false
	}
	a := b.aead[d[1]]
	if a == nil {
		return 0, nil, false
	}
	body := d[headerLen:]
	plain, err := a.Open(nil, body[:nonceLen], body[nonceLen:], d[:headerLen])
	if err != nil {
		return 0, nil, false
	}
	return Topic(d[2]), plain, true
}
