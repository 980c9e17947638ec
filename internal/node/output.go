package node

import (
	"net/netip"

	"github.com/hemlockscale/hemlockscale/flow"
	"github.com/hemlockscale/hemlockscale/internal/flowframe"
	"github.com/hemlockscale/hemlockscale/internal/udp"
)

// arenaSize is the size in bytes of a batch of the longest frames, so that the arena
// rarely grows.
const arenaSize = udp.Batch * 1400

// Output collects the datagrams of effects and sends them in batches. It is not safe for
// concurrent use.
type Output struct {
	writer     *udp.Writer
	codec      PacketCodec
	callerPort uint16 // UDP port on which callers receive packets
	server     netip.AddrPort
	arena      []byte
	Failed     uint64 // datagrams that the kernel failed to send
}

// NewOutput returns an output that sends through socket. server is the backend server's
// address; balancers, which send nothing to a server, may pass the zero value.
func NewOutput(socket *udp.Conn, codec PacketCodec, callerPort uint16, server netip.AddrPort) *Output {
	return &Output{writer: udp.NewWriter(socket), codec: codec, callerPort: callerPort, server: server, arena: make([]byte, 0, arenaSize)}
}

// Add copies the datagrams of the effects; the packets may change after it returns.
func (o *Output) Add(effects []flow.Effect) {
	for i := range effects {
		e := &effects[i]
		start := len(o.arena)
		to := e.To
		switch e.Kind {
		case flow.SendMessage:
			o.arena = flowframe.Append(o.arena, &e.Message)
			o.arena = append(o.arena, e.Packet...)
		case flow.SendServer:
			to = o.server
			o.arena = append(o.arena, e.Packet...)
		case flow.SendCaller:
			to = o.caller(e.Message.Key)
			o.arena = append(o.arena, e.Packet...)
		case flow.SendReset:
			to = o.caller(e.Message.Key)
			o.arena = o.codec.Reset(o.arena, e.Message.Key, e.ResetSeq)
		}
		o.Failed += uint64(o.writer.Add(o.arena[start:], to, netip.Addr{}))
	}
}

// caller returns the address to which packets for a flow's caller are sent.
func (o *Output) caller(k flow.Key) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(k.Caller), o.callerPort)
}

// Flush sends the datagrams that were added.
func (o *Output) Flush() {
	o.Failed += uint64(o.writer.Flush())
	o.arena = o.arena[:0]
}
