package flow

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, so that every run is the same;
// -rapid.seed on the command line takes precedence.
func TestMain(m *testing.M) {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == "rapid.seed" })
	if !given {
		if err := flag.Set("rapid.seed", "1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
