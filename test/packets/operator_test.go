package packets

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/hemlockscale/hemlockscale/test/fleet"
)

const adminPort = 9102

// admin returns the address of a VM's admin pages.
func (v *vm) admin() string { return fmt.Sprintf("%s:%d", v.addr, adminPort) }

// writeLogs writes the log of each process to a file and returns the file names.
func (d *deployment) writeLogs() []string {
	d.t.Helper()
	dir := d.t.TempDir()
	var names []string
	for _, v := range d.all() {
		name := filepath.Join(dir, fmt.Sprintf("%s-%s.log", v.program, v.addr))
		if err := os.WriteFile(name, []byte(v.process.Log()), 0o600); err != nil {
			d.t.Fatal(err)
		}
		names = append(names, name)
	}
	return names
}

// TestOperatorReadsSnapshots runs "hemlockctl platform", which prints the configuration, the keys
// in the store and the state snapshots of the processes, also with a draining server and with a
// killed balancer.
func TestOperatorReadsSnapshots(t *testing.T) {
	d := start(t, 2, "listing", "listing")
	d.serve(2, 3, "listing")
	nodes := []string{d.balancers[0].admin(), d.balancers[1].admin(), d.agents[0].admin(), d.agents[1].admin()}
	show := func() (string, int) {
		return fleet.RunProgram(t, "hemlockctl", "platform", "-store", "http://"+d.store.Addr().String(), "-nodes", strings.Join(nodes, ","))
	}
	out, code := show()
	if code != 0 || strings.Count(out, "in force") != 2 || !strings.Contains(out, "4 keys") {
		t.Fatalf("exit %d:\n%s", code, out)
	}
	d.agents[0].server.Drain()
	d.await("the drain is acknowledged", d.agents[0].server.Drained)
	out, code = show()
	if code == 0 || !strings.Contains(out, "draining") {
		t.Fatalf("exit %d with a draining server:\n%s", code, out)
	}
	d.balancers[0].process.Kill()
	out, _ = show()
	if !strings.Contains(out, "unreachable") {
		t.Fatalf("with a balancer that was killed:\n%s", out)
	}
}

// TestOperatorFollowsFlow runs "hemlockctl flow" with a caller's address, which must print the
// timeline of the caller's flow from the logs of all processes.
func TestOperatorFollowsFlow(t *testing.T) {
	d := start(t, 2, "listing", "listing")
	d.serve(1, 1, "listing")
	opened := regexp.MustCompile(`"msg":"flow opened".*?"flow":"([^>]+)>`)
	var caller string
	d.await("an agent has logged a flow", func() bool {
		for _, a := range d.agents {
			if m := opened.FindStringSubmatch(a.process.Log()); m != nil {
				caller = m[1]
			}
		}
		return caller != ""
	})
	d.await("a balancer has logged the flow", func() bool {
		return strings.Contains(d.balancers[0].process.Log()+d.balancers[1].process.Log(), `"msg":"flow taken"`)
	})
	out, code := fleet.RunProgram(t, "hemlockctl", append([]string{"flow", caller}, d.writeLogs()...)...)
	if code != 0 || !strings.Contains(out, "flow taken") || !strings.Contains(out, "flow opened") {
		t.Fatalf("exit %d:\n%s", code, out)
	}
}

// Guards against metrics that the operations page names and no process exports, for example
// because a name was changed in the code alone.
func TestMetricsOfThePageAreServed(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	_, section, ok := strings.Cut(string(page), "## Metrics on this path")
	if !ok {
		t.Fatal("docs/OPERATIONS.md has no section \"Metrics on this path\"")
	}
	d := start(t, 1, "listing")
	d.serve(1, 2, "listing")
	served := metrics(t, d.balancers[0]) + metrics(t, d.agents[0])
	names := regexp.MustCompile("`(hemlock_[a-z_]+)").FindAllStringSubmatch(section, -1)
	if len(names) < 10 {
		t.Fatalf("only %d metric names found on the page, want at least 10", len(names))
	}
	for _, n := range names {
		if !strings.Contains(served, n[1]) {
			t.Errorf("metric %s is on the page, but no process exports it", n[1])
		}
	}
}

func metrics(t *testing.T, v *vm) string {
	t.Helper()
	resp, err := http.Get("http://" + v.admin() + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}
