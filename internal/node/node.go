// Package node is what the processes on the users' platform have in common:
// their settings, and the duties that tie them to the store and to each other.
package node

import (
	"errors"
	"net/http"

	"github.com/hemlockscale/hemlockscale/flow"
)

// ServerEvents takes what a backend server tells its agent.
type ServerEvents interface {
	// Heartbeat returns false for one that is not acted on, and so must not be
	// acknowledged.
	Heartbeat(flow.Heartbeat) bool
	// InvalidHeartbeat is told of one that no server sends.
	InvalidHeartbeat(error)
	// Leave is told that an instance ends. born is when it was started, as in
	// flow.Heartbeat.
	Leave(instance string, born int64)
}

// PacketCodec translates the platform's packets.
type PacketCodec interface {
	// FromCaller and FromServer read the header of a packet.
	FromCaller(b []byte) (flow.Segment, bool)
	FromServer(b []byte) (flow.Segment, bool)
	// Restore makes a packet that a server sent back the packet that it was.
	Restore(b []byte)
	// Reset appends a reset of a flow, for its caller, to b.
	Reset(b []byte, key flow.Key, seq uint32) []byte
}

// IgnoreServerClosed turns the regular end of an HTTP server into nil.
func IgnoreServerClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
