package catalogue

import (
	"flag"
	"testing"

	"go.uber.org/goleak"
)

// TestMain fixes the seed of the property tests unless -rapid.seed names one,
// so that every run gives the same verdict.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	goleak.VerifyTestMain(m)
}
