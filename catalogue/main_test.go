package catalogue

import (
	"flag"
	"testing"

	"go.uber.org/goleak"
)

// TestMain sets a fixed seed for the property tests unless -rapid.seed is given,
// so that every run gives the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	goleak.VerifyTestMain(m)
}
