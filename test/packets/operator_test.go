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

// admin is the address of a VM's admin pages.
func (v *vm) admin() string { return fmt.Sprintf("%s:%d", v.addr, adminPort) }

// logs writes what the processes have logged into files and returns their names.
func (d *deployment) logs() []string {
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

// TestOperatorSeesBeliefs drives the operators' read-only command: configuration,
// keys and what processes believe, also while one of them is wrong.
func TestOperatorSeesBeliefs(t *testing.T) {
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
		t.Fatalf("exit %d with a server that drains:\n%s", code, out)
	}
	d.balancers[0].process.Kill()
	out, _ = show()
	if !strings.Contains(out, "unreachable") {
		t.Fatalf("with a balancer that is gone:\n%s", out)
	}
}

// TestOperatorFollowsFlow takes a caller's port to the timeline of its flow through
// the logs of all processes.
func TestOperatorFollowsFlow(t *testing.T) {
	d := start(t, 2, "listing", "listing")
	d.serve(1, 1, "listing")
	opened := regexp.MustCompile(`"msg":"flow opened".*?"flow":"([^>]+)>`)
	var caller string
	d.await("a flow's line is there", func() bool {
		for _, a := range d.agents {
			if m := opened.FindStringSubmatch(a.process.Log()); m != nil {
				caller = m[1]
			}
		}
		return caller != ""
	})
	d.await("the balancer's line is there", func() bool {
		return strings.Contains(d.balancers[0].process.Log()+d.balancers[1].process.Log(), `"msg":"flow taken"`)
	})
	out, code := fleet.RunProgram(t, "hemlockctl", append([]string{"flow", caller}, d.logs()...)...)
	if code != 0 || !strings.Contains(out, "flow taken") || !strings.Contains(out, "flow opened") {
		t.Fatalf("exit %d:\n%s", code, out)
	}
}

// Symptom: on-call looks for a metric that the page on operations names, and no
// process has it.
// Cause: a name was changed in one place only.
func TestMetricsOfThePageAreServed(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	_, section, ok := strings.Cut(string(page), "## Metrics on this path")
	if !ok {
		t.Fatal("the page has no such section")
	}
	d := start(t, 1, "listing")
	d.serve(1, 2, "listing")
	served := metrics(t, d.balancers[0]) + metrics(t, d.agents[0])
	names := regexp.MustCompile("`(hemlock_[a-z_]+)").FindAllStringSubmatch(section, -1)
	if len(names) < 10 {
		t.Fatalf("only %d names found", len(names))
	}
	for _, n := range names {
		if !strings.Contains(served, n[1]) {
			t.Errorf("%s is not served", n[1])
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
