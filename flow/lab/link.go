package lab

import "time"

// link is a VM's link in one direction: bytes leave one after the other, and what
// would wait for too long is lost.
type link struct {
	rate float64 // bytes a second
	free time.Time
}

// send returns when bytes that are handed over now have left.
func (l *link) send(now time.Time, bytes int) (at time.Time, ok bool) {
	if l.free.Before(now) {
		l.free = now
	}
	if l.free.Sub(now) > queueMax {
		return now, false
	}
	l.free = l.free.Add(time.Duration(float64(bytes) / l.rate * float64(time.Second)))
	return l.free, true
}
