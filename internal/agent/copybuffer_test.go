package agent

import "testing"

func TestCopyBufferGrowsOnlyWhenFilled(t *testing.T) {
	var c copyBuffer
	defer c.free()
	for range 3 {
		if n := len(c.next()); n != smallCopySize {
			t.Fatalf("buffer of %d bytes, want %d", n, smallCopySize)
		}
		c.filled(smallCopySize - 1)
	}
	c.filled(smallCopySize)
	if n := len(c.next()); n != largeCopySize {
		t.Fatalf("buffer of %d bytes after a full read, want %d", n, largeCopySize)
	}
	c.filled(1)
	if n := len(c.next()); n != largeCopySize {
		t.Fatalf("buffer of %d bytes after a short read, want %d still", n, largeCopySize)
	}
}
