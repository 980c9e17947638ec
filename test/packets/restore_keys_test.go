package packets

import (
	"fmt"
	"testing"
	"time"
)

// Guards against keys that are missing for longer than the time in which they have to be
// back, after the store came back from an older copy so quickly that no process missed it:
// at each moment of the first seconds of a fleet that is idle, with and without another
// process that starts then.
func TestKeysAfterStoreCameBackAtAnyMoment(t *testing.T) {
	for _, after := range []time.Duration{0, 200 * time.Millisecond, 700 * time.Millisecond, 1200 * time.Millisecond, 2500 * time.Millisecond} {
		for _, starts := range []bool{false, true} {
			t.Run(fmt.Sprintf("after %v, another starts %v", after, starts), func(t *testing.T) {
				t.Parallel()
				d := start(t, 2, "listing")
				begun := time.Now()
				c := d.store.Backup()
				late := d.addAgent("listing")
				d.await("the new agent's key", func() bool { return d.hasKey(late) })
				d.await("the moment", func() bool { return time.Since(begun) >= after })
				d.store.Restore(c)
				back := time.Now()
				if starts {
					d.addAgent("listing")
				}
				d.await("the key is back", func() bool { return d.hasKey(late) })
				took := time.Since(back)
				t.Logf("key back after %v", took)
				if took > reentryLimit {
					t.Errorf("key back after %v, want %v at most", took, reentryLimit)
				}
				d.serve(2, 5, "listing")
			})
		}
	}
}
