package agent

import "testing"

func TestCopyBufferGrowsOnlyWhenFilled(t *testing.T) {
	var c copyBuffer
	defer c.free()
	for range 3 {
		if n := len(c.next()); n != smallCopy {
			t.Fatalf("%d bytes of room, want %d", n, smallCopy)
		}
		c.took(smallCopy - 1)
	}
	c.took(smallCopy)
	if n := len(c.next()); n != largeCopy {
		t.Fatalf("%d bytes of room after a full read, want %d", n, largeCopy)
	}
	c.took(1)
	if n := len(c.next()); n != largeCopy {
		t.Fatalf("%d bytes of room, want %d still", n, largeCopy)
	}
}
