package agent

import (
	"time"

	"github.com/hemlockscale/hemlockscale/internal/udp"
)

const (
	// ackSpacing is the time between two packets that are to be acknowledged by two
	// datagrams: above the 25 ms by which a caller's QUIC delays an acknowledgement.
	ackSpacing = 30 * time.Millisecond
	// spacingDuration is how long after it was silent a path is spaced.
	spacingDuration = 10 * time.Second
)

// spacing keeps the last packet of each burst back for ackSpacing on a path that was silent
// a while ago.
//
// Where half of the balancers are gone, the fabric loses half of what callers send. QUIC
// sends two packets when its timer fires, they arrive together, and the caller answers with
// one acknowledgement. Each one that is lost doubles the timer: some flows stood still for a
// minute. Two packets that arrive apart are answered twice.
type spacing struct {
	until  time.Time
	sentAt time.Time
	held   *heldPacket
}

// heldPacket is a packet that is kept back.
type heldPacket struct {
	n int
	b [udp.MaxDatagram]byte
}

func (h *heldPacket) packet() []byte { return h.b[:h.n] }

// start has the path spaced from now on.
func (s *spacing) start(now time.Time) { s.until = now.Add(spacingDuration) }

// hold takes a packet that is to be sent. It returns the one that was kept back before, nil
// if there is none, which goes first; and kept, if the packet itself is kept back.
func (s *spacing) hold(packet []byte, now time.Time) (before, kept *heldPacket) {
	before, s.held = s.held, nil
	spaced := now.Before(s.until) && (before != nil || now.Sub(s.sentAt) < ackSpacing)
	s.sentAt = now
	if !spaced {
		return before, nil
	}
	s.held = &heldPacket{}
	s.held.n = copy(s.held.b[:], packet)
	return before, s.held
}

// release gives up a packet that was kept back, and reports whether it still was.
func (s *spacing) release(h *heldPacket, now time.Time) bool {
	if s.held != h {
		return false
	}
	s.held = nil
	s.sentAt = now
	return true
}

// holdPacket takes a packet for a path that is to be sent, as spacing.take does.
func (t *paths) holdPacket(key pathKey, packet []byte, now time.Time) (before, kept *heldPacket) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.byKey[key]
	if p == nil {
		return nil, nil
	}
	return p.spacing.hold(packet, now)
}

// release reports whether a packet that was kept back is to be sent now.
func (t *paths) release(key pathKey, h *heldPacket, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.byKey[key]
	return p != nil && p.spacing.release(h, now)
}
