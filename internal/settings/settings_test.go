package settings

import (
	"os"
	"path/filepath"
	"testing"
)

// Guards against hiding the error message for an unknown flag: the flag package prints
// the whole list of settings after it.
func TestWrongFlagPrintsNoUsage(t *testing.T) {
	out, err := os.Create(filepath.Join(t.TempDir(), "out"))
	if err != nil {
		t.Fatal(err)
	}
	defer out.Close()
	stdout := os.Stdout
	os.Stdout = out
	defer func() { os.Stdout = stdout }()
	if err := New("p", "P", "does p").Parse([]string{"-no-such"}); err == nil || err == ErrDone {
		t.Errorf("Parse returned %v", err)
	}
	if info, _ := out.Stat(); info.Size() > 0 {
		t.Errorf("%d bytes were printed for an unknown flag, want none", info.Size())
	}
	if err := New("p", "P", "does p").Parse([]string{"-h"}); err != ErrDone {
		t.Errorf("Parse returned %v", err)
	}
	if info, _ := out.Stat(); info.Size() == 0 {
		t.Error("-h printed nothing")
	}
}
