package lab

import "time"

// link is a VM's link in one direction. Packets leave one after the other, and a packet
// that would wait for too long is lost.
type link struct {
	rate float64 // bytes per second
	free time.Time
}

// send returns when a packet passed now has left, and false if it is lost.
func (l *link) send(now time.Time, bytes int) (at time.Time, ok bool) {
	if l.free.Before(now) {
		l.free = now
	}
	if l.free.Sub(now) > maxLinkQueue {
		return now, false
	}
	l.free = l.free.Add(time.Duration(float64(bytes) / l.rate * float64(time.Second)))
	return l.free, true
}
