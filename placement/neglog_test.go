package placement

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

func TestNegLogIsClose(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := rapid.Uint64Min(1<<20).Draw(t, "h")
		got := float64(negLog(h)) / logUnit
		want := 64 - math.Log2(float64(h))
		if math.Abs(got-want) > 1e-5 {
			t.Errorf("negLog(%#x) = %v, want %v", h, got, want)
		}
	})
}
