package agent

import "sync"

const (
	smallCopy = 2 << 10
	largeCopy = 32 << 10
)

var (
	smallCopies = sync.Pool{New: func() any { b := make([]byte, smallCopy); return &b }}
	largeCopies = sync.Pool{New: func() any { b := make([]byte, largeCopy); return &b }}
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
		c.b = smallCopies.Get().(*[]byte)
	case c.full && len(*c.b) == smallCopy:
		smallCopies.Put(c.b)
		c.b = largeCopies.Get().(*[]byte)
	}
	return *c.b
}

// took returns the n bytes that the last read brought.
func (c *copyBuffer) took(n int) []byte {
	c.full = n == len(*c.b)
	return (*c.b)[:n]
}

// free gives the memory back.
func (c *copyBuffer) free() {
	if c.b == nil {
		return
	}
	pool := &largeCopies
	if len(*c.b) == smallCopy {
		pool = &smallCopies
	}
	pool.Put(c.b)
	c.b = nil
}
