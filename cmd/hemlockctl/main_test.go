package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"go.uber.org/goleak"

	standin "github.com/hemlockscale/hemlockscale/internal/standin/store"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const listing = `entries:
  - service: listing
    owner: kanatpar
    addresses: [10.0.0.1]
    class: stream
`

// ctl runs commands against a stand-in store.
type ctl struct {
	t     *testing.T
	store *standin.Server
	url   string
}

func newCtl(t *testing.T) *ctl {
	s := standin.New(standin.Config{})
	hs := httptest.NewServer(s.Handler())
	t.Cleanup(hs.Close)
	return &ctl{t, s, hs.URL}
}

func (c *ctl) file(text string) string {
	name := filepath.Join(c.t.TempDir(), "f.yaml")
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		c.t.Fatal(err)
	}
	return name
}

// run runs a command, checks its exit code and returns the output.
func (c *ctl) run(code int, args ...string) string {
	c.t.Helper()
	var out bytes.Buffer
	args = append([]string{args[0], "-store", c.url}, args[1:]...)
	if got := run(context.Background(), args, &out, &out); got != code {
		c.t.Fatalf("%v: exit %d, want %d: %s", args, got, code, out.String())
	}
	return out.String()
}

func expectContains(t *testing.T, text string, parts ...string) {
	t.Helper()
	for _, p := range parts {
		if !strings.Contains(text, p) {
			t.Fatalf("%q is not in: %s", p, text)
		}
	}
}

func TestEditAndShow(t *testing.T) {
	c := newCtl(t)
	f := c.file(listing)
	expectContains(t, c.run(exitAccepted, "check", "-f", f), "accepted")
	expectContains(t, c.run(exitAccepted, "diff", "-f", f), "listing", "addresses", "10.0.0.1")
	expectContains(t, c.run(exitAccepted, "apply", "-f", f, "-editor", "ayse"), "accepted: revision 1")
	expectContains(t, c.run(exitAccepted, "list"), "SERVICE", "listing", "10.0.0.1")
	got := c.run(exitAccepted, "get", "listing")
	expectContains(t, got, "revision: 1", "service: listing")
	expectContains(t, c.run(exitAccepted, "apply", "-f", c.file(got), "-editor", "ayse"), "0 entries changed")
	expectContains(t, c.run(exitAccepted, "history", "-o", "json"), `"editor": "ayse"`, `"op": "put"`)
	expectContains(t, c.run(exitRefused, "delete", "-owner", "bocina", "-editor", "ayse", "listing"), "refused", "belongs to owner")
	expectContains(t, c.run(exitAccepted, "delete", "-owner", "kanatpar", "-editor", "ayse", "listing"), "revision 2")
	expectContains(t, c.run(exitRefused, "get", "listing"), "no entry")
}

// Guards against an edit that overwrites another operator's edit: both read revision 1,
// edit and apply. The second apply carries the revision that it is based on, so it is
// refused with the changes made since.
func TestConflictingEditIsRefusedWithChanges(t *testing.T) {
	c := newCtl(t)
	c.run(exitAccepted, "apply", "-f", c.file(listing), "-editor", "ayse")
	read := c.run(exitAccepted, "get", "listing")
	c.run(exitAccepted, "apply", "-f", c.file(strings.Replace(read, "10.0.0.1", "10.0.0.2", 1)), "-editor", "ayse")
	staleFile := c.file(strings.Replace(read, "10.0.0.1", "10.0.0.3", 1))
	expectContains(t, c.run(exitRefused, "apply", "-f", staleFile, "-editor", "mehmet"), "refused", "revision 2: put listing by ayse", "read it again")
	expectContains(t, c.run(exitRefused, "apply", "-f", staleFile, "-editor", "mehmet", "-o", "json"), `"outcome": "refused"`, `"editor": "ayse"`)
}

// Guards against an edit whose outcome can't be found out: the store applies it and
// becomes unreachable before it responds. The edit ID in the report lets settle find
// out whether the edit is in force, so that an operator neither repeats nor abandons it.
func TestUnknownOutcomeCanBeSettled(t *testing.T) {
	c := newCtl(t)
	h := http.NewServeMux()
	down := false
	h.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		if down {
			http.Error(w, "gateway", http.StatusBadGateway)
			return
		}
		if r.Method == http.MethodPost {
			down = true
			c.store.Handler().ServeHTTP(httptest.NewRecorder(), r)
			http.Error(w, "gateway", http.StatusBadGateway)
			return
		}
		c.store.Handler().ServeHTTP(w, r)
	})
	proxy := httptest.NewServer(h)
	defer proxy.Close()
	proxied := &ctl{t, c.store, proxy.URL}
	text := proxied.run(exitUnknown, "apply", "-f", c.file(listing), "-editor", "ayse", "-o", "json")
	var o outcome
	if err := json.Unmarshal([]byte(text), &o); err != nil || o.Outcome != "unknown" {
		t.Fatalf("%v: %s", err, text)
	}
	expectContains(t, o.Next, "settle -edit "+o.Edit)
	expectContains(t, c.run(exitAccepted, "settle", "-edit", o.Edit), "accepted: revision 1")
}

func TestStatusComparesNodes(t *testing.T) {
	c := newCtl(t)
	c.run(exitAccepted, "apply", "-f", c.file(listing), "-editor", "ayse")
	var v listView
	if err := json.Unmarshal([]byte(c.run(exitAccepted, "list", "-o", "json")), &v); err != nil {
		t.Fatal(err)
	}
	node := func(revision uint64, checksum string) string {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprintf(w, `{"node":"b1","role":"balancer","zone":"qro-a","revision":%d,"checksum":%q}`, revision, checksum)
		}))
		t.Cleanup(s.Close)
		return strings.TrimPrefix(s.URL, "http://")
	}
	good := node(1, v.Checksum.String())
	expectContains(t, c.run(exitAccepted, "status", "-balancers", good), "qro-a", stateInForce)
	text := c.run(exitRefused, "status", "-balancers", good+","+node(0, "0")+","+node(1, "1")+",127.0.0.1:1")
	expectContains(t, text, stateInForce, stateBehind, stateChecksumDiffers, stateUnreachable)
	c.store.SetFaults(standin.Faults{Outage: true})
	expectContains(t, c.run(exitRefused, "status", "-balancers", good), stateNoStore, "outage")
}

func TestUsage(t *testing.T) {
	c := newCtl(t)
	tests := []struct {
		args []string
		want string
	}{
		{[]string{"aply"}, "unknown command"},
		{[]string{"apply"}, "-f"},
		{[]string{"apply", "-file", "x"}, "-file"},
		{[]string{"apply", "-f", "/does/not/exist"}, "correct -f"},
		{[]string{"list", "-o", "xml"}, "-o json"},
		{[]string{"list", "more"}, "remove it"},
		{[]string{"list", "-timeout", "0s"}, "-timeout"},
		{[]string{"list", "-store", "10.0.0.1"}, "http://address:port"},
		{[]string{"settle", "-edit", "zz"}, "32 hexadecimal"},
		{[]string{"delete", "listing"}, "-owner"},
		{[]string{"get"}, "get SERVICE"},
	}
	for _, tt := range tests {
		text := c.run(exitUsage, tt.args...)
		expectContains(t, text, tt.want)
		if strings.Count(text, "\n") != 1 {
			t.Errorf("%v: more than one line: %s", tt.args, text)
		}
	}
	expectContains(t, c.run(exitAccepted, "apply", "-h"), "-timeout", "10s", "-editor")
	for _, a := range []string{"-h", "--version"} {
		var out bytes.Buffer
		if run(context.Background(), []string{a}, &out, &out) != exitAccepted || out.Len() == 0 {
			t.Errorf("%s: %s", a, out.String())
		}
	}
}
