// Package node holds what balancers and agents on the users' platform have in common:
// their settings, their registration in the store, and the exchange of the operator's
// orders with the store and with other processes.
package node

import (
	"errors"
	"net/http"

	"github.com/hemlockscale/hemlockscale/flow"
)

// ServerEvents receives the messages that a backend server sends to its agent.
type ServerEvents interface {
	// Heartbeat handles a heartbeat. It returns false for one that was ignored and
	// therefore must not be acknowledged.
	Heartbeat(flow.Heartbeat) bool
	// InvalidHeartbeat records a heartbeat that can't be decoded or has an invalid field;
	// the error gives the reason. It can't have come from a backend server.
	InvalidHeartbeat(error)
	// Deregister records that an instance of the server ends. startTimeMs is the instance's
	// start time, as in flow.Heartbeat.
	Deregister(instance string, startTimeMs int64)
}

// PacketCodec reads and writes the platform's packets.
type PacketCodec interface {
	// FromCaller and FromServer decode the header of a packet; ok is false if it is invalid.
	FromCaller(b []byte) (flow.Segment, bool)
	FromServer(b []byte) (flow.Segment, bool)
	// Restore turns a packet that a server returned back into the original packet, in place.
	Restore(b []byte)
	// Reset appends a packet to b that resets a flow at its caller.
	Reset(b []byte, key flow.Key, seq uint32) []byte
}

// IgnoreServerClosed returns nil for http.ErrServerClosed and err otherwise.
func IgnoreServerClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
