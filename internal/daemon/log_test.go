package daemon

import (
	"bytes"
	"strings"
	"testing"

	"go.uber.org/zap"
)

// blockedWriter is a log destination that blocks until release is closed.
type blockedWriter struct{ release chan struct{} }

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// Guards against a process that stops forwarding packets because a write to its log
// blocks: the reader of its standard output has stopped, and the pipe is full.
func TestStalledLogReaderDoesNotBlock(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	r := NewLogRing(out)
	for range 3 * maxPendingLines {
		r.Write([]byte("line\n"))
	}
	if r.Dropped() < maxPendingLines {
		t.Errorf("%d lines dropped, want more", r.Dropped())
	}
	close(out.release)
	r.Close()
}

// Bursts of lines below level warn are sampled; lines at warn and above never are.
func TestOrdinaryLinesAreSampled(t *testing.T) {
	var out bytes.Buffer
	log, ring, err := openLog(Config{Role: "test", Level: "info", Output: &out})
	if err != nil {
		t.Fatal(err)
	}
	const lines = 1000
	for range lines {
		log.Info("ordinary")
		log.Warn("exceptional", zap.Int("n", 1))
	}
	ring.Close()
	if n := strings.Count(out.String(), `"exceptional"`); n != lines {
		t.Errorf("%d of %d warn lines were written, want all", n, lines)
	}
	if n := strings.Count(out.String(), `"ordinary"`); n < sampleFirst || n > lines/2 {
		t.Errorf("%d of %d info lines were written, want a sample", n, lines)
	}
}
