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

// orderStore is an in-memory store with the history of its keys.
type orderStore struct {
	era      store.Era
	revision uint64
	items    map[string][]byte
	history  []store.Change
	oldest   uint64 // revision up to which changes are no longer in the history
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

// compact discards the history, as the store may at any time.
func (k *orderStore) compact() { k.oldest, k.history = k.revision, nil }

func (k *orderStore) Snapshot(_ context.Context, prefix string) (store.Snapshot, error) {
	s := store.Snapshot{Version: k.version()}
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

// restore replaces the store's state by c, an older copy of it, in the next store era.
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

// evacuated returns the evacuated zones in the store, sorted.
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

// follow reads the orders, or watches them if some are known, as a process does.
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

// failer is the part of *testing.T and *rapid.T that the helpers need.
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

// Guards against an availability zone that stays out of service after its evacuation ended, or
// in service after it was evacuated. A process reads the orders, the key of an evacuation is
// removed, and the process reads again, with or without the store's history. A removed key has
// no version that could be compared.
func TestOrdersFollowTheStore(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*orderStore)
		zones  []string
		newer  bool
	}{
		{"evacuated", func(k *orderStore) { k.put("orders/zone/b", "") }, []string{"a", "b"}, true},
		{"evacuation ended", func(k *orderStore) { k.remove("orders/zone/a") }, nil, true},
		{"evacuation ended, history lost", func(k *orderStore) { k.remove("orders/zone/a"); k.compact() }, nil, true},
		{"evacuation ended and ordered again", func(k *orderStore) { k.remove("orders/zone/a"); k.put("orders/zone/a", "") }, []string{"a"}, false},
		{"ordered twice", func(k *orderStore) { k.put("orders/zone/a", "again") }, []string{"a"}, false},
		{"two zones at once", func(k *orderStore) { k.put("orders/zone/c", ""); k.put("orders/zone/b", "") }, []string{"a", "b", "c"}, true},
		{"configuration at the same time", func(k *orderStore) { k.put("orders/configuration", "2"); k.put("orders/zone/b", "") }, []string{"a", "b"}, true},
		{"key of another program", func(k *orderStore) { k.put("orders/other", "") }, []string{"a"}, false},
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
				t.Errorf("evacuated zones %v, version %d before the change and %d after it", got, before.Version, after.Version)
			}
		})
	}
}

// Checks that a configuration stays in force when its key is removed, and that there are no
// orders without a configuration.
func TestConfigurationIsNotRemoved(t *testing.T) {
	k := newOrderStore()
	s := &OrdersSource{Store: k, Keys: testKeys}
	k.put("orders/zone/a", "")
	var missing *store.NotFoundError
	if _, err := s.Read(context.Background(), store.Value{}); !errors.As(err, &missing) {
		t.Fatalf("read of orders without a configuration: %v, want *store.NotFoundError", err)
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
			t.Errorf("history dropped: %v; configuration %q, evacuated zones %v, %v", drop, o.Configuration, o.Evacuated, err)
		}
	}
}

// Guards against removed routes that are served again. The store is restored from an older
// copy without the current configuration, and a balancer reads the older one before the
// operator has written the current one again, and serves it to a balancer that starts.
func TestOlderConfigurationIsNotAppliedAfterRestore(t *testing.T) {
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
		{"nothing written", func() {}, "3"},
		{"another key is written", func() { k.put("orders/zone/a", "") }, "3"},
		{"an older configuration is written", func() { k.put("orders/configuration", "2") }, "3"},
		{"history dropped", func() { k.compact() }, "3"},
		{"the same configuration is written", func() { k.put("orders/configuration", "3") }, "3"},
		{"a newer configuration is written", func() { k.put("orders/configuration", "4") }, "4"},
	} {
		step.do()
		v = follow(t, s, v)
		o, err := DecodeOrders(v.Data)
		if err != nil || string(o.Configuration) != step.want {
			t.Errorf("%s: configuration %q, %v, want %q", step.name, o.Configuration, err, step.want)
		}
	}
}

// Checks that two processes, which read the same store independently and take values from
// each other, never have different orders under one version, never return to an older version,
// and finally agree with the store.
func TestOrdersAgree(t *testing.T) {
	checkOrdersAgree(t, []string{"evacuate", "end evacuation", "configure", "compact", "follow", "follow", "take"})
}

// Checks the same while the store is restored from older copies and assigns revisions again.
// Compared by revision alone, one version would stand for two sets of orders, and no process
// would apply the orders that were given after the restore.
func TestOrdersAgreeAfterRestores(t *testing.T) {
	checkOrdersAgree(t, []string{"evacuate", "end evacuation", "copy", "restore", "follow", "follow", "take"})
}

// checkOrdersAgree makes random steps of those named, by two processes and the operator.
func checkOrdersAgree(t *testing.T, steps []string) {
	rapid.Check(t, func(t *rapid.T) {
		k := newOrderStore()
		k.put("orders/configuration", "0")
		copied := k.copy()
		var sources [2]OrdersSource
		var held [2]store.Value
		dataByVersion := map[uint64][]byte{}
		for i := range sources {
			sources[i] = OrdersSource{Store: k, Keys: testKeys}
		}
		take := func(i int, v store.Value) {
			if data, known := dataByVersion[v.Version]; known && !bytes.Equal(data, v.Data) {
				t.Fatalf("two different sets of orders have version %s", store.FormatVersion(v.Version))
			}
			dataByVersion[v.Version] = v.Data
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
			case "end evacuation":
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
				t.Fatalf("process %d has evacuated zones %v, the store has %v", i, got, k.evacuated())
			}
		}
	})
}

// Checks that every value that DecodeOrders accepts survives encoding and decoding.
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
			t.Errorf("decoded %+v, after encoding again %+v, %v", o, again, err)
		}
	})
}

// Guards against a configuration that was in force and is reverted after the store was restored
// from an older copy. Processes that start read the store's older configuration, while the
// others keep the newer one, and the higher version must not decide between the two.
func TestNoProcessRevertsToOlderConfiguration(t *testing.T) {
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
				t.Fatalf("process %d reverts from version %s with %q to version %s with %q", i, store.FormatVersion(before.Version), before.Data, store.FormatVersion(held[i].Version), held[i].Data)
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
				t.Errorf("process %d has configuration %d after all have exchanged values, want %d", i, got, newest)
			}
		}
	})
}
