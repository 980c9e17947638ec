package lab

import (
	"testing"
	"time"
)

func testCase() Case {
	return Case{Agents: 7, Balancers: 4, Zones: 4, Duration: 2 * time.Minute, Warmup: 20 * time.Second, Seed: 1}
}

func mustRun(t *testing.T, c Case, policy string) Result {
	t.Helper()
	r, err := Run(c, policy, Options{})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func TestSameSeedSameResult(t *testing.T) {
	for _, p := range Policies {
		if a, b := mustRun(t, testCase(), p), mustRun(t, testCase(), p); a != b {
			t.Errorf("%s: %+v and %+v", p, a, b)
		}
	}
}

func TestPoliciesReceiveTheSameFlows(t *testing.T) {
	want := mustRun(t, testCase(), "random").Flows
	for _, p := range Policies {
		if got := mustRun(t, testCase(), p).Flows; got != want {
			t.Errorf("%s: %d flows, random %d", p, got, want)
		}
	}
}

func TestUnknownPolicy(t *testing.T) {
	if _, err := Run(testCase(), "best", Options{}); err == nil {
		t.Error("Run accepted an unknown policy")
	}
}

// Guards against a first choice that depends on the balancer's load reports: the
// handshake fails if the two Initial packets of a flow reach balancers with
// different reports and are sent to different agents.
func TestEqualMemberListsSplitNoHandshake(t *testing.T) {
	if r := mustRun(t, testCase(), "placement"); r.Split != 0 {
		t.Errorf("a share of %.4f of the handshakes reached two agents", r.Split)
	}
}

// Guards against a placement that is no better than plain hashing. The bounds leave
// a wide margin to the figures in docs/measure.
func TestPlacementBeatsPlainHashing(t *testing.T) {
	placed, hashed := mustRun(t, testCase(), "placement"), mustRun(t, testCase(), "rendezvous")
	if placed.WaitP99 > hashed.WaitP99/2 || placed.WindowMaxToMean > 1.4 {
		t.Errorf("p99 wait %v against %v, window %.3f", placed.WaitP99, hashed.WaitP99, placed.WindowMaxToMean)
	}
}
