package agent

import (
	"time"

	"github.com/hemlockscale/hemlockscale/internal/udp"
)

const (
	// ackSpacing is the time between two packets that are to be acknowledged separately. It
	// is above the 25 ms by which a caller's QUIC delays an acknowledgement.
	ackSpacing = 30 * time.Millisecond
	// spacingDuration is how long packets are spaced after a path was unresponsive.
	spacingDuration = 10 * time.Second
)

// spacing delays the last packet of each burst by ackSpacing on a path that was recently
// unresponsive.
//
// If half of the balancers have failed, the network loses half of the packets that callers
// send. QUIC sends two packets when its timer fires. They arrive together, and the caller
// sends one acknowledgement for both. Each lost acknowledgement doubles the timer, so
// a flow may stall for a minute. Two packets that arrive apart are acknowledged separately.
type spacing struct {
	until  time.Time
	sentAt time.Time
	held   *heldPacket
}

// heldPacket is a packet whose sending is delayed.
type heldPacket struct {
	n int
	b [udp.MaxDatagram]byte
}

func (h *heldPacket) packet() []byte { return h.b[:h.n] }

// start enables spacing for spacingDuration.
func (s *spacing) start(now time.Time) { s.until = now.Add(spacingDuration) }

// hold is called with each packet to be sent. It returns the packet held before, which has
// to be sent first, and the held copy of the packet itself if it is to be delayed. Either
// may be nil.
func (s *spacing) hold(packet []byte, now time.Time) (before, held *heldPacket) {
	before, s.held = s.held, nil
	delay := now.Before(s.until) && (before != nil || now.Sub(s.sentAt) < ackSpacing)
	s.sentAt = now
	if !delay {
		return before, nil
	}
	s.held = &heldPacket{}
	s.held.n = copy(s.held.b[:], packet)
	return before, s.held
}

// release ends the delay of h, and reports whether h was still held and has to be sent.
func (s *spacing) release(h *heldPacket, now time.Time) bool {
	if s.held != h {
		return false
	}
	s.held = nil
	s.sentAt = now
	return true
}

// holdPacket calls spacing.hold for a packet to be sent on a path.
func (t *paths) holdPacket(key pathKey, packet []byte, now time.Time) (before, held *heldPacket) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.byKey[key]
	if p == nil {
		return nil, nil
	}
	return p.spacing.hold(packet, now)
}

// release calls spacing.release for a held packet of a path.
func (t *paths) release(key pathKey, h *heldPacket, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.byKey[key]
	return p != nil && p.spacing.release(h, now)
}
