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
			continue // TestColdStart covers it; it loads 33,000 entries a node
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

// Symptom: a change is missing at some nodes for ever. Sequence: single
// changes, and edits too large for datagrams, under loss. Cause: a message that
// is lost and neither digests nor bulk loads make good.
func TestEveryChangeComesIntoForce(t *testing.T) {
	for _, loss := range []float64{0, 0.05, 0.2} {
		if s := Spread(7, 64, 3, loss, catalogue.ReplicaConfig{}); s.Missing != 0 {
			t.Errorf("loss %v: %d nodes and changes not in force", loss, s.Missing)
		}
		if b := BulkEdit(7, 8, 3, loss); !b.InForce {
			t.Errorf("loss %v: not all edits in force", loss)
		}
	}
}

// Symptom: after a power cut nodes stay without a catalogue. Sequence: all
// start empty but one. Cause: more nodes ask than one serves at once.
func TestColdStart(t *testing.T) {
	if b := ColdStart(7, 8); !b.InForce {
		t.Errorf("not all loaded: %+v", b)
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
