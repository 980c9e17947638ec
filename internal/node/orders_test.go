package node

import (
	"bytes"
	"context"
	"errors"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/hemlockscale/hemlockscale/internal/store"
)

// orderStore is a store that keeps every state of its keys.
type orderStore struct {
	era      store.Era
	revision uint64
	items    map[string][]byte
	history  []store.Change
	oldest   uint64 // changes up to here are not in the history any more
}

func newOrderStore() *orderStore {
	return &orderStore{revision: 100, oldest: 100, items: map[string][]byte{}}
}

func (k *orderStore) put(key, data string) {
	k.revision++
	k.items[key] = []byte(data)
	k.history = append(k.history, store.Change{Key: key, Value: store.Value{Data: []byte(data), Version: k.version()}})
}

func (k *orderStore) remove(key string) {
	k.revision++
	delete(k.items, key)
	k.history = append(k.history, store.Change{Key: key, Value: store.Value{Version: k.version()}, Removed: true})
}

// compact drops the history, as the store may at any time.
func (k *orderStore) compact() { k.oldest, k.history = k.revision, nil }

func (k *orderStore) Snapshot(_ context.Context, prefix string) (store.Snapshot, error) {
	s := store.Snapshot{Revision: k.version()}
	for key, data := range k.items {
		if strings.HasPrefix(key, prefix) {
			s.Items = append(s.Items, store.Item{Key: key, Value: store.Value{Data: data}})
		}
	}
	return s, nil
}

func (k *orderStore) Changes(_ context.Context, prefix string, after uint64) (list []store.Change, upTo uint64, err error) {
	if store.EraOf(after) != k.era || store.RevisionOf(after) < k.oldest {
		return nil, 0, &store.HistoryLostError{Key: prefix, After: after}
	}
	for _, c := range k.history {
		if c.Version > after && strings.HasPrefix(c.Key, prefix) {
			list = append(list, c)
		}
	}
	return list, k.version(), nil
}

func (k *orderStore) version() uint64 { return store.VersionAt(k.era, k.revision) }

// restore has the store come back from c, an older copy of it, in the next era.
func (k *orderStore) restore(c *orderStore) {
	era := k.era + 1
	*k = *c.copy()
	k.era = era
	for i := range k.history {
		k.history[i].Version = store.VersionAt(era, store.RevisionOf(k.history[i].Version))
	}
}

func (k *orderStore) copy() *orderStore {
	c := *k
	c.items, c.history = maps.Clone(k.items), slices.Clone(k.history)
	return &c
}

// evacuated are the zones that the store holds as evacuated, sorted.
func (k *orderStore) evacuated() (zones []string) {
	for key := range k.items {
		if zone, ok := testKeys.Zone(key); ok {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	return zones
}

var testKeys = OrderKeys{
	Prefix: "orders/", Configuration: "orders/configuration",
	Zone: func(key string) (string, bool) { return strings.CutPrefix(key, "orders/zone/") },
	Number: func(configuration []byte) uint64 {
		number, err := strconv.ParseUint(string(configuration), 10, 64)
		if err != nil {
			return 0
		}
		return number
	},
}

// follow reads or watches, as a process that follows the orders does.
func follow(t failer, s *OrdersSource, known store.Value) store.Value {
	t.Helper()
	read := s.Read
	if known.Version != 0 {
		read = s.Watch
	}
	v, err := read(context.Background(), known)
	var lost *store.HistoryLostError
	if errors.As(err, &lost) {
		v, err = s.Read(context.Background(), known)
	}
	if err != nil {
		t.Fatalf("follow: %v", err)
	}
	return v
}

type failer interface {
	Helper()
	Fatalf(format string, args ...any)
}

func zonesOf(t failer, v store.Value) []string {
	t.Helper()
	o, err := DecodeOrders(v.Data)
	if err != nil {
		t.Fatalf("decode: %v", err)
	}
	return o.Evacuated
}

// Symptom: an availability zone stays out of service after it was given back, or in
// service after it was evacuated.
// Sequence: a process reads the orders, and they change; the key of an evacuation is
// gone by the time that the process reads again, with or without the store's history.
// Cause: a key that is gone has no version that could be compared.
func TestOrdersFollowTheStore(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*orderStore)
		zones  []string
		newer  bool
	}{
		{"evacuated", func(k *orderStore) { k.put("orders/zone/b", "") }, []string{"a", "b"}, true},
		{"given back", func(k *orderStore) { k.remove("orders/zone/a") }, nil, true},
		{"given back, history lost", func(k *orderStore) { k.remove("orders/zone/a"); k.compact() }, nil, true},
		{"given back and taken again", func(k *orderStore) { k.remove("orders/zone/a"); k.put("orders/zone/a", "") }, []string{"a"}, false},
		{"ordered twice", func(k *orderStore) { k.put("orders/zone/a", "again") }, []string{"a"}, false},
		{"two zones at once", func(k *orderStore) { k.put("orders/zone/c", ""); k.put("orders/zone/b", "") }, []string{"a", "b", "c"}, true},
		{"configuration at the same time", func(k *orderStore) { k.put("orders/configuration", "2"); k.put("orders/zone/b", "") }, []string{"a", "b"}, true},
		{"a key of somebody else", func(k *orderStore) { k.put("orders/other", "") }, []string{"a"}, false},
		{"other changes, history lost", func(k *orderStore) { k.put("elsewhere", ""); k.compact() }, []string{"a"}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			k := newOrderStore()
			k.put("orders/configuration", "1")
			k.put("orders/zone/a", "")
			s := &OrdersSource{Store: k, Keys: testKeys}
			before := follow(t, s, store.Value{})
			c.change(k)
			after := follow(t, s, before)
			if got := zonesOf(t, after); !slices.Equal(got, c.zones) || after.Version > before.Version != c.newer {
				t.Errorf("zones %v, versions %d and %d", got, before.Version, after.Version)
			}
		})
	}
}

// A configuration whose key is removed stays in force; without one there are no orders.
func TestConfigurationIsNotRemoved(t *testing.T) {
	k := newOrderStore()
	s := &OrdersSource{Store: k, Keys: testKeys}
	k.put("orders/zone/a", "")
	var missing *store.NotFoundError
	if _, err := s.Read(context.Background(), store.Value{}); !errors.As(err, &missing) {
		t.Fatalf("orders without a configuration: %v", err)
	}
	k.put("orders/configuration", "1")
	v := follow(t, s, store.Value{})
	k.remove("orders/configuration")
	k.remove("orders/zone/a")
	for _, drop := range []bool{false, true} {
		if drop {
			k.compact()
		}
		o, err := DecodeOrders(follow(t, s, v).Data)
		if err != nil || string(o.Configuration) != "1" || len(o.Evacuated) > 0 {
			t.Errorf("history dropped: %v; configuration %q, zones %v, %v", drop, o.Configuration, o.Evacuated, err)
		}
	}
}

// The store came back from an older copy, without the configuration that was in force. A
// balancer read the older one before the operator had written the newer one again, and
// handed it to a balancer that started just then, which served routes that were gone.
func TestOlderConfigurationOfTheCopyIsNotTaken(t *testing.T) {
	k := newOrderStore()
	k.put("orders/configuration", "1")
	copied := k.copy()
	k.put("orders/configuration", "3")
	s := &OrdersSource{Store: k, Keys: testKeys}
	v := follow(t, s, store.Value{})
	k.restore(copied)
	for _, step := range []struct {
		name string
		do   func()
		want string
	}{
		{"nothing written again", func() {}, "3"},
		{"another key is written", func() { k.put("orders/zone/a", "") }, "3"},
		{"an older one is written again", func() { k.put("orders/configuration", "2") }, "3"},
		{"history dropped", func() { k.compact() }, "3"},
		{"the same is written again", func() { k.put("orders/configuration", "3") }, "3"},
		{"a newer one", func() { k.put("orders/configuration", "4") }, "4"},
	} {
		step.do()
		v = follow(t, s, v)
		o, err := DecodeOrders(v.Data)
		if err != nil || string(o.Configuration) != step.want {
			t.Errorf("%s: configuration %q, %v, want %q", step.name, o.Configuration, err, step.want)
		}
	}
}

// Two processes that follow the same store in their own time, and take values from each
// other, never hold different orders under one version, never go back, and agree with
// the store in the end.
func TestOrdersAgree(t *testing.T) {
	checkOrdersAgree(t, []string{"evacuate", "give back", "configure", "compact", "follow", "follow", "take"})
}

// The same while the store comes back from older copies, of which revisions are given out
// again: compared by revision alone, one version stood for two orders, and what was
// ordered after the return was in force nowhere.
func TestOrdersAgreeAfterRestores(t *testing.T) {
	checkOrdersAgree(t, []string{"evacuate", "give back", "copy", "restore", "follow", "follow", "take"})
}

// checkOrdersAgree has two processes and the operator make random steps of those named.
func checkOrdersAgree(t *testing.T, steps []string) {
	rapid.Check(t, func(t *rapid.T) {
		k := newOrderStore()
		k.put("orders/configuration", "0")
		copied := k.copy()
		var sources [2]OrdersSource
		var held [2]store.Value
		seen := map[uint64][]byte{}
		for i := range sources {
			sources[i] = OrdersSource{Store: k, Keys: testKeys}
		}
		take := func(i int, v store.Value) {
			if data, known := seen[v.Version]; known && !bytes.Equal(data, v.Data) {
				t.Fatalf("version %s stands for two orders", store.FormatVersion(v.Version))
			}
			seen[v.Version] = v.Data
			if v.Version > held[i].Version {
				held[i] = v
			}
		}
		zone := rapid.SampledFrom([]string{"a", "b", "c"})
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			i := rapid.IntRange(0, 1).Draw(t, "process")
			switch rapid.SampledFrom(steps).Draw(t, "step") {
			case "evacuate":
				k.put("orders/zone/"+zone.Draw(t, "zone"), "")
			case "give back":
				k.remove("orders/zone/" + zone.Draw(t, "zone"))
			case "configure":
				k.put("orders/configuration", rapid.StringN(1, 3, -1).Draw(t, "configuration"))
			case "compact":
				k.compact()
			case "copy":
				copied = k.copy()
			case "restore":
				k.restore(copied)
			case "follow":
				take(i, follow(t, &sources[i], held[i]))
			case "take":
				if held[1-i].Version != 0 {
					take(i, held[1-i])
				}
			}
		}
		for i := range sources {
			take(i, follow(t, &sources[i], held[i]))
			if got := zonesOf(t, held[i]); !slices.Equal(got, k.evacuated()) {
				t.Fatalf("process %d has %v in force, the store holds %v", i, got, k.evacuated())
			}
		}
	})
}

// Whatever another process sends, what is read can be written again.
func FuzzOrders(f *testing.F) {
	o := Orders{Configuration: []byte("{}"), Evacuated: []string{"a", "b"}}
	f.Add(o.Encode())
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x0f})
	f.Add([]byte{1, 200})
	f.Fuzz(func(t *testing.T, b []byte) {
		o, err := DecodeOrders(b)
		if err != nil {
			return
		}
		again, err := DecodeOrders(o.Encode())
		if err != nil || !slices.Equal(again.Evacuated, o.Evacuated) || !bytes.Equal(again.Configuration, o.Configuration) {
			t.Errorf("read %+v, then %+v, %v", o, again, err)
		}
	})
}

// Guards against a configuration that was in force and is undone: processes that start take
// the store's older one, the others go on with the newer one that they carried over, and
// whoever has the higher version overrules the other.
func TestNoProcessGoesBackToAnOlderConfiguration(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const processes = 3
		k := newOrderStore()
		written := 1
		k.put("orders/configuration", strconv.Itoa(written))
		copied := k.copy()
		var sources [processes]*OrdersSource
		var held [processes]store.Value
		start := func(i int) { sources[i], held[i] = &OrdersSource{Store: k, Keys: testKeys}, store.Value{} }
		take := func(i int, v store.Value) {
			before := held[i]
			held[i] = sources[i].Merge(before, v)
			if before.Version > held[i].Version || sources[i].ContentNumber(before.Data) > sources[i].ContentNumber(held[i].Data) {
				t.Fatalf("process %d goes back from %s with %q to %s with %q", i, store.FormatVersion(before.Version), before.Data, store.FormatVersion(held[i].Version), held[i].Data)
			}
		}
		for i := range processes {
			start(i)
			take(i, follow(t, sources[i], held[i]))
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			i := rapid.IntRange(0, processes-1).Draw(t, "process")
			switch rapid.SampledFrom([]string{"configure", "evacuate", "copy", "restore", "start", "follow", "follow", "take"}).Draw(t, "step") {
			case "configure":
				written++
				k.put("orders/configuration", strconv.Itoa(written))
			case "evacuate":
				k.put("orders/zone/"+strconv.Itoa(written), "")
			case "copy":
				copied = k.copy()
			case "restore":
				k.restore(copied)
			case "start":
				start(i)
			case "follow":
				take(i, follow(t, sources[i], held[i]))
			case "take":
				if from := rapid.IntRange(0, processes-1).Draw(t, "from"); held[from].Version != 0 {
					take(i, held[from])
				}
			}
		}
		newest := uint64(0)
		for i := range processes {
			newest = max(newest, sources[i].ContentNumber(held[i].Data))
		}
		for range 2 {
			for i := range processes {
				if next := held[(i+1)%processes]; next.Version != 0 {
					take(i, next)
				}
			}
		}
		for i := range processes {
			if got := sources[i].ContentNumber(held[i].Data); held[i].Version != 0 && got != newest {
				t.Errorf("process %d has configuration %d once all have met, want %d", i, got, newest)
			}
		}
	})
}
