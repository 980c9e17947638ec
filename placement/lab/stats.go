package lab

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// stats accumulates the figures of one run.
type stats struct {
	flows, crossZone, split, forwarded, lost uint64
	requests, refused, failed, broken        uint64
	waits                                    *hdrhistogram.Histogram
	windowRatios, busyRatios, factors        mean
}

func newStats() stats {
	return stats{waits: hdrhistogram.New(1, time.Hour.Microseconds(), 3)}
}

// mean computes a mean.
type mean struct {
	sum float64
	n   int
}

func (a *mean) add(x float64) { a.sum += x; a.n++ }

func (a mean) value() float64 {
	if a.n == 0 {
		return 0
	}
	return a.sum / float64(a.n)
}

func (s *stats) recordPlacement(m *model, f *flow, b, first, chosen int, split bool) {
	if m.now < m.c.Warmup {
		return
	}
	s.flows++
	if split {
		s.split++
	}
	if chosen < 0 || !m.servers[chosen].alive {
		s.lost++
		return
	}
	if first != chosen {
		s.forwarded++
	}
	if m.servers[chosen].zone != b%m.c.Zones {
		s.crossZone++
	}
}

func (s *stats) recordRefusal(m *model) {
	if m.now >= m.c.Warmup {
		s.requests++
		s.refused++
	}
}

func (s *stats) recordStart(m *model, d time.Duration, factor float64, failed bool) {
	if m.now >= m.c.Warmup {
		if failed {
			s.failed++
		}
		s.factors.add(factor)
		s.requests++
		s.waits.RecordValue(d.Microseconds() + 1)
	}
}

// sample records the figures of one tick and adds the outstanding requests to the
// history, from which the load endpoints answer (see reportedLoad). During the warm-up it
// discards the figures; after it, it closes a window every windowTicks.
func (m *model) sample() {
	m.ticks++
	row := m.historyRow()
	busy, highest, alive := 0, 0, 0
	for i := range m.servers {
		s := &m.servers[i]
		s.accumulate(m.now)
		row[i] = uint16(s.outstanding())
		if !s.alive {
			continue
		}
		alive++
		busy += s.busy
		highest = max(highest, s.busy)
	}
	m.history = append(m.history, row)
	if m.now < m.c.Warmup {
		m.resetServers()
		return
	}
	if busy > 0 {
		m.stats.busyRatios.add(float64(highest*alive) / float64(busy))
	}
	if m.ticks%windowTicks == 0 {
		m.closeWindow()
	}
}

// historyRow returns a row to fill. It reuses the oldest row if the history
// exceeds the lag.
func (m *model) historyRow() []uint16 {
	if len(m.history) <= int(m.c.Lag/sampleInterval) {
		return make([]uint16, len(m.servers))
	}
	row := m.history[0]
	m.history = m.history[1:]
	return row
}

// resetServers discards the figures of the warm-up.
func (m *model) resetServers() {
	for i := range m.servers {
		m.servers[i].outstandingTime, m.servers[i].windowStart = 0, 0
	}
}

// closeWindow records the ratio of the window that ends now and starts the next
// window.
func (m *model) closeWindow() {
	if ratio := m.maxToMean(func(s *server) float64 { return float64(s.outstandingTime - s.windowStart) }); ratio > 0 {
		m.stats.windowRatios.add(ratio)
	}
	for i := range m.servers {
		m.servers[i].windowStart = m.servers[i].outstandingTime
	}
}

// maxToMean returns the ratio of the maximum to the mean of value over the
// running backend servers, or 0 if the sum is 0.
func (m *model) maxToMean(value func(*server) float64) float64 {
	sum, highest, alive := 0.0, 0.0, 0
	for i := range m.servers {
		s := &m.servers[i]
		if !s.alive {
			continue
		}
		v := value(s)
		sum += v
		highest = max(highest, v)
		alive++
	}
	if sum == 0 {
		return 0
	}
	return highest * float64(alive) / sum
}
