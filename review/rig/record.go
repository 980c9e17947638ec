package rig

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Record writes what was sent, answered and run to a file, each line with the seconds since
// the start of the case.
type Record struct {
	mu     sync.Mutex
	file   *os.File
	w      *bufio.Writer
	start  time.Time
	broken []string
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: f, w: bufio.NewWriter(f), start: time.Now()}, nil
}

// Add writes one line.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Break records that the rule was broken.
func (r *Record) Break(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	r.Add("RULE BROKEN: %s", line)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, line)
}

// Broken returns how often the rule was broken.
func (r *Record) Broken() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.broken)
}

// Close writes the buffered lines to the file.
func (r *Record) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.w.Flush(); err != nil {
		return err
	}
	return r.file.Close()
}
