package lab

import (
	"time"

	"github.com/hemlockscale/hemlockscale/membership"
)

// Traffic is the traffic that processes sent: in total from Sent, per second and
// process from Exchange.Traffic.
type Traffic struct {
	Bytes    float64 // on the wire
	Messages float64
}

// Sent returns the total traffic that the processes have sent so far.
func Sent(list []*Process) Traffic {
	var t Traffic
	for _, p := range list {
		t.Bytes += float64(p.SentBytes)
		t.Messages += float64(p.SentMessages)
	}
	return t
}

// rateSince returns the traffic per second and process since before.
func (t Traffic) rateSince(before Traffic, processes int, d time.Duration) Traffic {
	per := float64(processes) * d.Seconds()
	return Traffic{(t.Bytes - before.Bytes) / per, (t.Messages - before.Messages) / per}
}

// Traffic passes time d and returns the traffic that the processes sent, per second
// and process.
func (x *Exchange) Traffic(list []*Process, d time.Duration) Traffic {
	before := Sent(list)
	x.Run(d, nil)
	return Sent(list).rateSince(before, len(list), d)
}

// SumStats returns the sum of the counters that the experiments read.
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
