package agent

import (
	"testing"
	"time"
)

// Guards against two packets that arrive together on a path that was unresponsive, and are
// acknowledged by a single packet, which may be lost.
func TestPacketsOfUnresponsivePathAreSpaced(t *testing.T) {
	now := time.Unix(1000, 0)
	var s spacing
	if _, held := s.hold([]byte{1}, now); held != nil {
		t.Fatal("packet held on a path that was never unresponsive")
	}
	s.start(now)
	now = now.Add(ackSpacing)
	if before, held := s.hold([]byte{2}, now); before != nil || held != nil {
		t.Fatalf("first packet of a burst: before %v, held %v, want neither", before, held)
	}
	_, second := s.hold([]byte{3}, now)
	if second == nil {
		t.Fatal("second packet of a burst is not held")
	}
	before, third := s.hold([]byte{4}, now)
	if before != second || third == nil {
		t.Fatal("second of three packets is not sent before the third")
	}
	if s.release(second, now) {
		t.Error("packet is sent twice")
	}
	if !s.release(third, now.Add(ackSpacing)) {
		t.Error("last packet of a burst is not sent")
	}
	now = now.Add(spacingDuration)
	s.hold([]byte{5}, now)
	if _, held := s.hold([]byte{6}, now); held != nil {
		t.Error("packet held after spacingDuration")
	}
}
