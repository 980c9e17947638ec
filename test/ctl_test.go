package test

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	standin "github.com/hemlockscale/hemlockscale/internal/standin/store"
	"github.com/hemlockscale/hemlockscale/test/fleet"
)

// Exit codes of hemlockctl.
const (
	ctlAccepted = 0
	ctlRefused  = 1
	ctlUsage    = 2
	ctlUnknown  = 3
)

// ctl runs hemlockctl against the fleet's store.
func ctl(t *testing.T, f *fleet.Fleet, command string, args ...string) (string, int) {
	t.Helper()
	return fleet.RunProgram(t, "hemlockctl", append([]string{command, "-store", f.StoreURL}, args...)...)
}

// entryFile writes a file with one entry and returns its path.
func entryFile(t *testing.T, service, owner, address string, queue int) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), service+".yaml")
	text := fmt.Sprintf("entries:\n  - service: %s\n    owner: %s\n    addresses: [%s]\n    class: interactive\n    limits: {queue: %d}\n", service, owner, address, queue)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// expectCode fails the test if a command ended with another exit code.
func expectCode(t *testing.T, what, out string, got, want int) {
	t.Helper()
	if got != want {
		t.Fatalf("%s: exit code %d, want %d\n%s", what, got, want, out)
	}
}

// TestOperatorEditsCatalogue runs hemlockctl against a running fleet: an edit, the display of its
// result, refused edits, and the revision in force at every balancer.
func TestOperatorEditsCatalogue(t *testing.T) {
	t.Parallel()
	f := fleet.Start(t, kanatpar())
	address := f.SpareAddress(1).String()

	out, code := ctl(t, f, "apply", "-editor", "ada", "-f", entryFile(t, "stock", "exchange", address, 20))
	expectCode(t, "apply", out, code, ctlAccepted)
	out, code = ctl(t, f, "get", "stock")
	expectCode(t, "get", out, code, ctlAccepted)
	if !strings.Contains(out, address) {
		t.Errorf("get does not show the address:\n%s", out)
	}
	out, code = ctl(t, f, "apply", "-editor", "ada", "-f", entryFile(t, "other", "exchange", address, 20))
	expectCode(t, "address conflict", out, code, ctlRefused)
	out, code = ctl(t, f, "apply", "-editor", "ada", "-f", entryFile(t, "stock", "somebody", address, 20))
	expectCode(t, "another owner's entry", out, code, ctlRefused)
	out, code = ctl(t, f, "apply", "-nonsense")
	expectCode(t, "unknown flag", out, code, ctlUsage)

	c := f.Entry("stock")
	fleet.Eventually(t, "status shows the revision of every balancer", func() bool {
		var admins []string
		for _, b := range f.Balancers {
			admins = append(admins, b.Admin)
		}
		out, code = ctl(t, f, "status", "-balancers", strings.Join(admins, ","), "-o", "json")
		return code == ctlAccepted && json.Valid([]byte(out)) && strings.Count(out, `"revision"`) >= len(admins)
	})
	if c.Owner != "exchange" {
		t.Errorf("owner %q", c.Owner)
	}
}

// Guards against an operator who applies an edit twice, or gives up an edit that is in force,
// because the store carried out the write and its response was lost. The command reports the
// outcome as unknown, or resolves it by reading back.
func TestLostAnswerOfEdit(t *testing.T) {
	t.Parallel()
	f := fleet.Start(t, kanatpar())
	address := f.SpareAddress(1).String()
	f.Store.SetFaults(standin.Faults{LoseResponse: 1})
	out, code := ctl(t, f, "apply", "-editor", "ada", "-f", entryFile(t, "stock", "exchange", address, 20))
	f.Store.SetFaults(standin.Faults{})
	if code == ctlUnknown {
		id := regexp.MustCompile(`[0-9a-f]{32}`).FindString(out)
		out, code = ctl(t, f, "settle", "-edit", id)
	}
	expectCode(t, "apply with its answer lost", out, code, ctlAccepted)
	if e := f.Entry("stock"); e.Version != 1 {
		t.Errorf("version %d after one edit", e.Version)
	}
}
