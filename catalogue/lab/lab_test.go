package lab

import (
	"errors"
	"slices"
	"testing"

	"github.com/hemlockscale/hemlockscale/catalogue"
)

func TestSameSeedSameFigures(t *testing.T) {
	c := Config{Sizes: []float64{6}, Losses: []float64{0.2}, Changes: 2, Seed: 1}
	for _, e := range Experiments {
		if e.Name == "cold-start" {
			continue // covered by TestColdStart; it loads 33,000 entries per node
		}
		a, err := e.Run(c)
		if err != nil || len(a) == 0 {
			t.Fatalf("%s: %v, %v", e.Name, a, err)
		}
		if b, _ := e.Run(c); !slices.Equal(a, b) {
			t.Errorf("%s: %v and %v", e.Name, a, b)
		}
	}
}

// Guards against changes that remain missing at some nodes: single changes, and
// edits too large for datagrams, are made while messages are lost, and digests
// and bulk loads must compensate for the loss.
func TestEveryChangeComesIntoForce(t *testing.T) {
	for _, loss := range []float64{0, 0.05, 0.2} {
		if s := Spread(7, 64, 3, loss, catalogue.ReplicaConfig{}); s.Missing != 0 {
			t.Errorf("loss %v: %d pairs of node and change not in force", loss, s.Missing)
		}
		if b := BulkEdit(7, 8, 3, loss); !b.InForce {
			t.Errorf("loss %v: not all edits in force", loss)
		}
	}
}

// Guards against nodes that remain without a catalogue after a power failure: all
// but one start empty, and more nodes request a bulk load than one node serves at
// the same time.
func TestColdStart(t *testing.T) {
	if b := ColdStart(7, 8); !b.InForce {
		t.Errorf("not all nodes have loaded the catalogue: %+v", b)
	}
}

func TestWrongConfigIsRefused(t *testing.T) {
	for _, c := range []Config{{Sizes: []float64{1}}, {Losses: []float64{1}}, {Changes: -1}} {
		var wrong *ConfigError
		if _, err := Experiments[0].Run(c); !errors.As(err, &wrong) {
			t.Errorf("%+v: %v", c, err)
		}
	}
}
