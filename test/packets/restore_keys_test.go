package packets

import (
	"fmt"
	"testing"
	"time"
)

// Guards against keys that are missing for longer than keyRestoreLimit after the store was
// restored from an older copy so quickly that no call of a process failed. The store is restored
// at several moments of the first seconds of an idle fleet, with and without another process that
// starts then.
func TestKeysAfterStoreRestoredAtAnyMoment(t *testing.T) {
	for _, after := range []time.Duration{0, 200 * time.Millisecond, 700 * time.Millisecond, 1200 * time.Millisecond, 2500 * time.Millisecond} {
		for _, starts := range []bool{false, true} {
			t.Run(fmt.Sprintf("after %v, another starts %v", after, starts), func(t *testing.T) {
				t.Parallel()
				d := start(t, 2, "listing")
				begun := time.Now()
				c := d.store.Backup()
				late := d.addAgent("listing")
				d.await("the new agent's key is in the store", func() bool { return d.hasKey(late) })
				d.await("the moment of the restore", func() bool { return time.Since(begun) >= after })
				d.store.Restore(c)
				back := time.Now()
				if starts {
					d.addAgent("listing")
				}
				d.await("the key is in the store again", func() bool { return d.hasKey(late) })
				took := time.Since(back)
				t.Logf("key in the store again after %v", took)
				if took > keyRestoreLimit {
					t.Errorf("key in the store again after %v, want %v at most", took, keyRestoreLimit)
				}
				d.serve(2, 5, "listing")
			})
		}
	}
}
