package agent

import "sync"

const (
	smallCopySize = 2 << 10
	largeCopySize = 32 << 10
)

var (
	smallBuffers = sync.Pool{New: func() any { b := make([]byte, smallCopySize); return &b }}
	largeBuffers = sync.Pool{New: func() any { b := make([]byte, largeCopySize); return &b }}
)

// copyBuffer is the buffer through which a response body is copied. It starts small and
// is replaced by a large one when a read fills it. An open feed holds its buffer for
// hours and fills little of it, so large buffers would dominate the memory of a flow;
// small buffers would slow down downloads.
type copyBuffer struct {
	b    *[]byte
	full bool // the last read filled the small buffer
}

// next returns the buffer for the next read.
func (c *copyBuffer) next() []byte {
	switch {
	case c.b == nil:
		c.b = smallBuffers.Get().(*[]byte)
	case c.full && len(*c.b) == smallCopySize:
		smallBuffers.Put(c.b)
		c.b = largeBuffers.Get().(*[]byte)
	}
	return *c.b
}

// filled records that the last read returned n bytes, and returns them.
func (c *copyBuffer) filled(n int) []byte {
	c.full = n == len(*c.b)
	return (*c.b)[:n]
}

// free returns the buffer to its pool.
func (c *copyBuffer) free() {
	if c.b == nil {
		return
	}
	pool := &largeBuffers
	if len(*c.b) == smallCopySize {
		pool = &smallBuffers
	}
	pool.Put(c.b)
	c.b = nil
}
