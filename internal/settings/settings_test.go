package settings

import (
	"os"
	"path/filepath"
	"testing"
)

// Symptom: the line that says which flag is wrong is lost above pages of
// settings. Sequence: a program is started with an unknown flag. Cause: the
// flag package prints the usage for each wrong flag.
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
		t.Errorf("got %v", err)
	}
	if info, _ := out.Stat(); info.Size() > 0 {
		t.Errorf("%d bytes were printed", info.Size())
	}
	if err := New("p", "P", "does p").Parse([]string{"-h"}); err != ErrDone {
		t.Errorf("got %v", err)
	}
	if info, _ := out.Stat(); info.Size() == 0 {
		t.Error("-h printed nothing")
	}
}
