package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const balancerLog = `{"level":"info","ts":"2026-03-01T10:00:00.100Z","msg":"flow refused by agent","role":"balancer","flow":"100.64.0.7:40001>198.18.0.1:443","agent":"10.0.0.5:8172","reason":"busy","occupancy":255}
{"level":"info","ts":"2026-03-01T10:00:00.300Z","msg":"flow taken","role":"balancer","flow":"100.64.0.7:40001>198.18.0.1:443","agent":"10.0.0.6:8172","offers":2}
{"level":"info","ts":"2026-03-01T10:00:00.310Z","msg":"flow taken","role":"balancer","flow":"100.64.0.7:4000>198.18.0.1:443","agent":"10.0.0.6:8172","offers":1}
no JSON here
`

const agentLog = `vm-6 {"level":"info","ts":"2026-03-01T10:00:00.200Z","msg":"server","role":"agent","state":"ready"}
vm-6 {"level":"info","ts":"2026-03-01T10:00:00.400Z","msg":"flow opened","role":"agent","flow":"100.64.0.7:40001>198.18.0.1:443","after":0.02}
vm-6 {"level":"info","ts":"2026-03-01T10:00:09.000Z","msg":"server","role":"agent","state":"draining"}
`

// runFlow runs hemlockctl flow on the two logs, checks the exit code and returns the output.
func runFlow(t *testing.T, code int, args ...string) string {
	t.Helper()
	dir := t.TempDir()
	var files []string
	for name, text := range map[string]string{"balancer.log": balancerLog, "agent.log": agentLog} {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		files = append(files, path)
	}
	var out bytes.Buffer
	if got := run(context.Background(), append(append([]string{"flow"}, args...), files...), &out, &out); got != code {
		t.Fatalf("exit %d, want %d: %s", got, code, out.String())
	}
	return out.String()
}

func expectInOrder(t *testing.T, text string, parts ...string) {
	t.Helper()
	at := 0
	for _, p := range parts {
		i := strings.Index(text[at:], p)
		if i < 0 {
			t.Fatalf("%q is missing or out of order:\n%s", p, text)
		}
		at += i
	}
}

func TestTimelineOfAFlow(t *testing.T) {
	got := runFlow(t, exitAccepted, "100.64.0.7:40001")
	expectInOrder(t, got, "+0.000 s", "flow refused by agent", "reason=busy", "+0.200 s", "flow taken", "offers=2", "+0.300 s", "agent.log vm-6", "flow opened", "after=0.02")
	if strings.Contains(got, "40001>198.18.0.1:443  server") || strings.Contains(got, ":4000>") {
		t.Errorf("lines of other flows, or without a flow, are shown:\n%s", got)
	}
}

func TestTimelineWithStateChanges(t *testing.T) {
	got := runFlow(t, exitAccepted, "-around", "1s", "100.64.0.7:40001")
	expectInOrder(t, got, "flow refused by agent", "state=ready", "flow taken", "flow opened")
	if strings.Contains(got, "draining") {
		t.Errorf("a state change 8 s after the flow's last line is shown:\n%s", got)
	}
}

func TestTimelineOfACaller(t *testing.T) {
	got := runFlow(t, exitAccepted, "100.64.0.7")
	expectInOrder(t, got, "offers=2", ":4000>198.18.0.1:443", "flow opened")
}

func TestTimelineErrors(t *testing.T) {
	expectInOrder(t, runFlow(t, exitUsage, "100.64.0"), "is not a caller's address")
	expectInOrder(t, runFlow(t, exitRefused, "100.64.0.8"), "none of 6 log lines belongs to a flow of 100.64.0.8")
}
