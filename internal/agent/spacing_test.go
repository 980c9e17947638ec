package agent

import (
	"testing"
	"time"
)

// Guards against two packets that arrive together, and so are answered by one
// acknowledgement that may be lost, on a path that was silent.
func TestPacketsOfASilentPathAreSpaced(t *testing.T) {
	now := time.Unix(1000, 0)
	var s spacing
	if _, kept := s.hold([]byte{1}, now); kept != nil {
		t.Fatal("a path that was never silent is spaced")
	}
	s.start(now)
	now = now.Add(ackSpacing)
	if before, kept := s.hold([]byte{2}, now); before != nil || kept != nil {
		t.Fatalf("the first packet of a burst: before %v, kept %v", before, kept)
	}
	_, second := s.hold([]byte{3}, now)
	if second == nil {
		t.Fatal("the second packet of a burst is not kept back")
	}
	before, third := s.hold([]byte{4}, now)
	if before != second || third == nil {
		t.Fatal("of three packets the second is not sent when the third comes")
	}
	if s.release(second, now) {
		t.Error("a packet is sent twice")
	}
	if !s.release(third, now.Add(ackSpacing)) {
		t.Error("the last packet of a burst is not sent")
	}
	now = now.Add(spacingDuration)
	s.hold([]byte{5}, now)
	if _, kept := s.hold([]byte{6}, now); kept != nil {
		t.Error("a path is spaced long after it was silent")
	}
}
