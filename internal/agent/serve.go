package agent

import (
	"net/http"

	"github.com/quic-go/quic-go"
)

// Handler returns the handler of the callers' requests, for use in servers other than the
// agent's own.
func (a *Agent) Handler() http.Handler { return a.http.Handler }

// QUICConfig returns the settings of the agent's caller connections.
func QUICConfig() *quic.Config {
	return &quic.Config{
		MaxIdleTimeout:          idleTimeout,
		KeepAlivePeriod:         keepAlivePeriod,
		InitialPacketSize:       packetSize,
		DisablePathMTUDiscovery: true,
		MaxIncomingStreams:      maxStreamsPerConnection,
		Allow0RTT:               false,
	}
}
