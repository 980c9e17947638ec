package daemon

import (
	"io"
	"sync/atomic"

	"go.uber.org/zap/zapcore"
)

// maxPendingLines is the maximum number of lines that wait to be written, about 1 MB.
const maxPendingLines = 4096

// maxBatchSize is the size in bytes from which no further line is added to a write. It
// bounds the memory that the ring uses besides its pending lines.
const maxBatchSize = 16 << 10

// LogRing is a bounded queue that accepts log lines without blocking. A goroutine writes
// them. While the ring is full, new lines are dropped and counted; lines in the ring are
// never overwritten. If Write blocked, a stopped reader of the log would stop the
// forwarding of packets.
type LogRing struct {
	lines   chan []byte
	dropped atomic.Uint64
	done    chan struct{}
}

// NewLogRing returns a ring that writes to w until Close.
func NewLogRing(w io.Writer) *LogRing {
	r := &LogRing{lines: make(chan []byte, maxPendingLines), done: make(chan struct{})}
	go r.run(w)
	return r
}

// Write implements zapcore.WriteSyncer; it never fails and never blocks.
func (r *LogRing) Write(line []byte) (int, error) {
	select {
	case r.lines <- append([]byte(nil), line...):
	default:
		r.dropped.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer.
func (r *LogRing) Sync() error { return nil }

// Close writes the pending lines and stops the writer. The log must not be used
// afterwards. Close does nothing on a nil ring.
func (r *LogRing) Close() {
	if r == nil {
		return
	}
	close(r.lines)
	<-r.done
}

// droppedMetric returns the number of dropped lines, 0 for a nil ring.
func (r *LogRing) droppedMetric() float64 {
	if r == nil {
		return 0
	}
	return float64(r.Dropped())
}

// Dropped returns the number of lines dropped.
func (r *LogRing) Dropped() uint64 { return r.dropped.Load() }

func (r *LogRing) run(w io.Writer) {
	defer close(r.done)
	var batch []byte
	for line := range r.lines {
		batch = append(batch[:0], line...)
		// Write all pending lines in one call, up to maxBatchSize.
		for more := true; more && len(batch) < maxBatchSize; {
			select {
			case next, ok := <-r.lines:
				batch = append(batch, next...)
				more = ok
			default:
				more = false
			}
		}
		w.Write(batch)
	}
}

var _ zapcore.WriteSyncer = (*LogRing)(nil)
