package lab

import (
	"time"

	"github.com/hemlockscale/hemlockscale/membership"
)

// Traffic is what processes sent: in all from Sent, a second and process from
// Exchange.Traffic.
type Traffic struct {
	Bytes    float64 // on the wire
	Messages float64
}

// Sent returns what the processes have sent so far.
func Sent(list []*Process) Traffic {
	var t Traffic
	for _, p := range list {
		t.Bytes += float64(p.SentBytes)
		t.Messages += float64(p.SentMessages)
	}
	return t
}

// since is what was sent after before, a second and process.
func (t Traffic) since(before Traffic, processes int, d time.Duration) Traffic {
	per := float64(processes) * d.Seconds()
	return Traffic{(t.Bytes - before.Bytes) / per, (t.Messages - before.Messages) / per}
}

// Traffic passes time d and returns what the processes sent meanwhile.
func (x *Exchange) Traffic(list []*Process, d time.Duration) Traffic {
	before := Sent(list)
	x.Run(d, nil)
	return Sent(list).since(before, len(list), d)
}

// SumStats adds the counters of the machines that experiments read.
func SumStats(list []*Process) membership.Stats {
	var sum membership.Stats
	for _, p := range list {
		s := p.Machine.Stats()
		sum.ReceivedBytes += s.ReceivedBytes
		sum.Suspected += s.Suspected
		for k := range s.SentByKind {
			sum.SentByKind[k] += s.SentByKind[k]
		}
	}
	return sum
}
