package flow

import (
	"time"

	"github.com/hemlockscale/hemlockscale/placement"
)

const (
	// answerMeanSize is the number of answers that the reported mean time mostly depends on.
	// The estimate by which work waits follows a change within tens of answers, but of a
	// service with equally many requests of 5 and 60 ms its standard error is 25 %, so
	// balancers would prefer agents by chance. Over 128 answers it is 7 %.
	answerMeanSize = 128
	// minAnswerMeanCount is the number of answers from which on their mean is reported. Of 8
	// answers of a service with requests of 5 and 60 ms the standard error is 39 %, of 64 it
	// is 14 %. From 32 on, waiting times of equal servers were less even than without the
	// ratio: largest to mean 1.59 instead of 1.36.
	minAnswerMeanCount = 64
	// maxAnswerMeanStep bounds a time, as a multiple of the mean, so that one answer after a
	// hang raises the mean by an eighth at most. Kinds of requests that differ by a factor of
	// 12 are not affected.
	maxAnswerMeanStep = 16
	// answerMeanTTL is the time without an answer after which the mean is forgotten.
	// Otherwise a server that was slow and gets no flows for that would never get any.
	answerMeanTTL = 10 * time.Second
	// usualTimeInterval is the shortest time between two reports of an agent that count for
	// the usual time of its service, so that an agent that reports often counts no more.
	usualTimeInterval = 500 * time.Millisecond
	// answerTimeUnit is the unit of the time in reports. Times that differ by one unit may be
	// nearly the same.
	answerTimeUnit = time.Millisecond
)

// answerMean is the mean time of a warm server from a request to its answer. The time of a
// cold server is left out, because the load that an agent reports already counts it.
type answerMean struct {
	mean  float64 // nanoseconds
	count int     // answers, up to answerMeanSize
	last  time.Time
}

func (m *answerMean) observe(now time.Time, took time.Duration) {
	if m.expired(now) {
		*m = answerMean{}
	}
	m.last = now
	m.count = min(m.count+1, answerMeanSize)
	t := float64(max(took, 0))
	if m.count > minAnswerMeanCount {
		t = min(t, maxAnswerMeanStep*m.mean)
	}
	m.mean += (t - m.mean) / float64(m.count)
}

func (m *answerMean) expired(now time.Time) bool { return now.Sub(m.last) >= answerMeanTTL }

// reported returns the mean, 0 if it is not known.
func (m *answerMean) reported(now time.Time) time.Duration {
	if m.count < minAnswerMeanCount || m.expired(now) {
		return 0
	}
	return time.Duration(m.mean)
}

// recordAnswerMean adds the time of an answer to the mean that is reported, without the time
// that the request waited in the server for a slot: the requests in progress are part of the
// reported load, and would count twice.
func (g *Gate) recordAnswerMean(now time.Time, f *gateFlow, took time.Duration) {
	if now.Before(g.server.coldUntil) {
		return
	}
	if slots := g.server.slots; f.sentInProgress > slots {
		took = time.Duration(float64(took) * float64(slots) / float64(f.sentInProgress))
	}
	g.answers.observe(now, took)
}

// recordTime records the time to an answer that an agent reports.
func (d *Director) recordTime(now time.Time, a *agent, m *Message) {
	if m.Kind != Report {
		return
	}
	a.answerTime = m.AnswerTime
	if a.answerTime > 0 && now.Sub(a.timeCountedAt) >= usualTimeInterval {
		a.timeCountedAt = now
		d.services[a.service].usualTime.Add(float64(a.answerTime))
	}
}

// timeRatio returns the ratio of an agent's time to an answer to the usual one of its
// service.
func (d *Director) timeRatio(a *agent) float64 {
	usual := d.services[a.service].usualTime.Value()
	if (a.answerTime - time.Duration(usual)).Abs() <= answerTimeUnit {
		return 1
	}
	return placement.TimeRatio(float64(a.answerTime), usual)
}
