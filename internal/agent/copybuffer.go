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

// copyBuffer is the memory that an answer is copied through. It begins small
// and becomes large once the answer fills it: an open feed holds its buffer for
// hours and fills little of it, and large ones would be the greatest part of
// what a flow costs; a download is slowed down by small ones.
type copyBuffer struct {
	b    *[]byte
	full bool // the last read filled the small buffer
}

// next returns the room for the next read.
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

// filled returns the n bytes that the last read brought.
func (c *copyBuffer) filled(n int) []byte {
	c.full = n == len(*c.b)
	return (*c.b)[:n]
}

// free gives the memory back.
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
