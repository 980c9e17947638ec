package lab

import (
	"encoding/binary"

	"github.com/hemlockscale/hemlockscale/flow"
)

// packetSize is the length of an encoded segment; its data is not included.
const packetSize = flow.KeySize + 11

// encode encodes a segment so that decode can read it.
func encode(s flow.Segment) []byte {
	b := s.Key.Append(nil)
	b = binary.LittleEndian.AppendUint32(b, s.Seq)
	b = binary.LittleEndian.AppendUint32(b, s.Ack)
	b = binary.LittleEndian.AppendUint16(b, uint16(s.Data))
	var flags byte
	for i, set := range []bool{s.Syn, s.HasAck, s.Fin, s.Rst} {
		if set {
			flags |= 1 << i
		}
	}
	return append(b, flags)
}

// decode reads what encode wrote.
func decode(b []byte) *flow.Segment {
	if len(b) != packetSize {
		return nil
	}
	key, _ := flow.DecodeKey(b)
	at := b[flow.KeySize:]
	flags := at[10]
	return &flow.Segment{
		Key: key, Seq: binary.LittleEndian.Uint32(at), Ack: binary.LittleEndian.Uint32(at[4:]), Data: int(binary.LittleEndian.Uint16(at[8:])),
		Syn: flags&1 != 0, HasAck: flags&2 != 0, Fin: flags&4 != 0, Rst: flags&8 != 0,
	}
}

// size returns the bytes that a message takes on a link.
func size(packet []byte) int {
	n := headerSize + len(packet)
	if s := decode(packet); s != nil {
		n += s.Data
	}
	return n
}
