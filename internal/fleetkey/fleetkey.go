// Package fleetkey parses the fleet keys in the settings and derives a separate key
// from them for each purpose.
package fleetkey

import (
	"crypto/hkdf"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"

	"github.com/hemlockscale/hemlockscale/connid"
)

const (
	secretLen = 16
	// Max is the maximum number of valid keys: the one in use and the one
	// being rotated in or out.
	Max = 2
)

// Key is one fleet key: a number, which is sent unencrypted, and a secret.
type Key struct {
	Number byte
	secret [secretLen]byte
}

// Ring holds the fleet keys. The first one is used for encryption and authentication, all
// of them for decryption and verification.
type Ring []Key

// Error reports an invalid fleet key setting. It never contains the secret.
type Error struct {
	Position int // counted from 1
	Reason   string
}

func (e *Error) Error() string {
	return fmt.Sprintf("fleet key %d: %s; write NUMBER:HEX with NUMBER from 0 to 255 and HEX of 32 hexadecimal digits, at most two keys, separated by a comma", e.Position, e.Reason)
}

// Parse parses a list of keys like "1:00112233445566778899aabbccddeeff,2:...". Errors are
// of type *Error.
func Parse(s string) (Ring, error) {
	parts := strings.Split(s, ",")
	if len(parts) > Max {
		return nil, &Error{Position: Max + 1, Reason: "too many keys"}
	}
	var ring Ring
	for i, part := range parts {
		k, err := parseKey(part)
		if err != "" {
			return nil, &Error{Position: i + 1, Reason: err}
		}
		if i > 0 && ring[0].Number == k.Number {
			return nil, &Error{Position: i + 1, Reason: "number used twice"}
		}
		ring = append(ring, k)
	}
	return ring, nil
}

func parseKey(s string) (k Key, reason string) {
	number, secret, found := strings.Cut(strings.TrimSpace(s), ":")
	if !found {
		return k, "missing colon"
	}
	n, err := strconv.ParseUint(number, 10, 8)
	if err != nil {
		return k, "the number is not from 0 to 255"
	}
	b, err := hex.DecodeString(secret)
	if err != nil || len(b) != secretLen {
		return k, "the secret is not 32 hexadecimal digits"
	}
	k.Number = byte(n)
	copy(k.secret[:], b)
	return k, ""
}

// Derive returns a key of n bytes for the purpose named by label.
func (k Key) Derive(label string, n int) []byte {
	out, err := hkdf.Key(sha256.New, k.secret[:], nil, "hemlockscale "+label, n)
	if err != nil {
		panic(err) // only if n exceeds HKDF's limit; callers pass constants
	}
	return out
}

// ConnIDs returns the codec for connection IDs under the ring's keys.
func (r Ring) ConnIDs() (*connid.Codec, error) {
	keys := make([]connid.Key, len(r))
	for i, k := range r {
		keys[i] = connid.Key{Number: k.Number, Secret: [connid.KeyLen]byte(k.Derive("connection id", connid.KeyLen))}
	}
	return connid.NewCodec(keys...)
}
