package node

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"sync"

	"github.com/hemlockscale/hemlockscale/internal/store"
)

// Orders is what the operator has ordered, as it was at one revision of the store.
type Orders struct {
	Configuration []byte   // as the operator wrote it
	Evacuated     []string // availability zones that get no new flows, sorted
}

// maxEvacuated bounds the evacuated zones in an encoded value: far above the zones that
// an operator has. A damaged length must not have a process take all its memory.
const maxEvacuated = 1 << 12

// OrdersError reports a value that is no encoded Orders.
type OrdersError struct{ Reason string }

func (e *OrdersError) Error() string {
	return fmt.Sprintf("orders: %s; the value comes from a process of another version, or is damaged: it is read in the store instead", e.Reason)
}

// Encode returns the orders in one value: the number of zones, their names each with its
// length, then the configuration. Equal orders have equal values.
func (o *Orders) Encode() []byte {
	b := make([]byte, 0, len(o.Configuration)+64)
	b = binary.AppendUvarint(b, uint64(len(o.Evacuated)))
	for _, zone := range o.Evacuated {
		b = binary.AppendUvarint(b, uint64(len(zone)))
		b = append(b, zone...)
	}
	return append(b, o.Configuration...)
}

// DecodeOrders reads what Encode wrote.
func DecodeOrders(b []byte) (Orders, error) {
	n, size := binary.Uvarint(b)
	if size <= 0 || n > maxEvacuated {
		return Orders{}, &OrdersError{Reason: "number of zones"}
	}
	b = b[size:]
	var o Orders
	for range n {
		length, size := binary.Uvarint(b)
		if size <= 0 || length > uint64(len(b)-size) {
			return Orders{}, &OrdersError{Reason: "name of a zone"}
		}
		b = b[size:]
		o.Evacuated = append(o.Evacuated, string(b[:length]))
		b = b[length:]
	}
	o.Configuration = b
	return o, nil
}

// OrderKeys says which keys of the store hold the operator's orders.
type OrderKeys struct {
	Prefix        string // of all of them
	Configuration string // key of the configuration
	// Zone returns the availability zone that a key names as evacuated for as long as
	// the key exists.
	Zone func(key string) (zone string, ok bool)
	// Number returns the number that the operator gave to a configuration; a newer one has a
	// higher number. It is 0 if it can't be read.
	Number func(configuration []byte) uint64
}

// OrdersSource reads the operator's orders in the store as one value. Its version is that
// of the store when the orders were found so, and a new one is taken only if they differ,
// or the store has come back from an older copy: reads are linearizable, so of two values
// with different versions the one with the higher version is the newer.
//
// One value has one number that a process can compare. An evacuation leaves no key when
// it ends; with a number for each key a process that missed its end could not tell
// "given back" from "not read yet", and kept a zone out of service, or put one into it.
type OrdersSource struct {
	Store store.Prefixed
	Keys  OrderKeys

	mu            sync.Mutex
	unchangedUpTo historyPosition
}

// historyPosition is how far the store's history is known: a version of the orders, and the
// version of the store up to which they stayed as they were.
type historyPosition struct{ version, upTo uint64 }

// Name implements ValueSource.
func (s *OrdersSource) Name() string { return s.Keys.Prefix }

// Read implements ValueSource.
func (s *OrdersSource) Read(ctx context.Context, known store.Value) (store.Value, error) {
	snapshot, err := s.Store.Snapshot(ctx, s.Keys.Prefix)
	if err != nil {
		return store.Value{}, err
	}
	before, _ := decodeKnown(known)
	o := Orders{Configuration: before.Configuration}
	for _, i := range snapshot.Items {
		s.applyPut(&o, i.Key, i.Data, snapshot.Revision)
	}
	if len(o.Configuration) == 0 {
		return store.Value{}, &store.NotFoundError{Key: s.Keys.Configuration}
	}
	return s.encodeValue(&o, known, snapshot.Revision), nil
}

// Watch implements ValueSource.
func (s *OrdersSource) Watch(ctx context.Context, known store.Value) (store.Value, error) {
	o, err := decodeKnown(known)
	if err != nil {
		return s.Read(ctx, known)
	}
	changes, upTo, err := s.Store.Changes(ctx, s.Keys.Prefix, s.watchFrom(known.Version))
	var long *store.TooLongError
	if errors.As(err, &long) {
		// Several changes of a large configuration: only the last of them counts.
		return s.Read(ctx, known)
	}
	if err != nil {
		return store.Value{}, err
	}
	for _, c := range changes {
		if c.Removed {
			s.applyRemoval(&o, c.Key)
		} else {
			s.applyPut(&o, c.Key, c.Data, upTo)
		}
	}
	return s.encodeValue(&o, known, upTo), nil
}

// decodeKnown reads a value that this process has taken; the zero value is no orders.
func decodeKnown(known store.Value) (Orders, error) {
	if known.Version == 0 {
		return Orders{}, nil
	}
	o, err := DecodeOrders(known.Data)
	o.Evacuated = slices.Clone(o.Evacuated)
	return o, err
}

// applyPut takes a key that holds data, as found at a version of the store. Keys that are none
// of the orders change nothing.
func (s *OrdersSource) applyPut(o *Orders, key string, data []byte, version uint64) {
	if key == s.Keys.Configuration {
		o.Configuration = s.newerConfiguration(data, version, o.Configuration)
		return
	}
	zone, ok := s.Keys.Zone(key)
	if !ok {
		return
	}
	if at, found := slices.BinarySearch(o.Evacuated, zone); !found {
		o.Evacuated = slices.Insert(o.Evacuated, at, zone)
	}
}

// applyRemoval takes a key away. A configuration that is removed stays in force: an operator
// changes it, and callers must not lose every route to a slip.
func (s *OrdersSource) applyRemoval(o *Orders, key string) {
	zone, ok := s.Keys.Zone(key)
	if !ok {
		return
	}
	if at, found := slices.BinarySearch(o.Evacuated, zone); found {
		o.Evacuated = slices.Delete(o.Evacuated, at, at+1)
	}
}

// encodeValue returns the orders that held at a version of the store: the known encodeValue if they
// are the same. In a new era even those get a new version, by which every process learns
// of the era.
func (s *OrdersSource) encodeValue(o *Orders, known store.Value, version uint64) store.Value {
	v := store.Value{Data: o.Encode(), Version: version}
	if known.Version != 0 && bytes.Equal(v.Data, known.Data) && store.EraOf(known.Version) == store.EraOf(version) {
		v = known
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unchangedUpTo = historyPosition{v.Version, version}
	return v
}

// newerConfiguration returns the configuration that was found at a version of the store, or the one
// known here if that is newer.
//
// A store that has come back from an older copy lacks a configuration until the operator
// has written it again; a process that took the one before from it would send callers by
// routes that they were told are gone. A store that never did has the newerConfiguration one.
func (s *OrdersSource) newerConfiguration(found []byte, version uint64, known []byte) []byte {
	if store.EraOf(version) == 0 || !s.older(found, known) {
		return found
	}
	return known
}

// older reports whether the operator made configuration a before b. One that can't be read
// is not older: it is refused where it is read as a whole.
func (s *OrdersSource) older(a, b []byte) bool {
	if len(b) == 0 {
		return false
	}
	number := s.Keys.Number(a)
	return number != 0 && number < s.Keys.Number(b)
}

// Merge implements ValueSource. Of two orders those with the higher version hold, with the
// newer configuration of the two.
func (s *OrdersSource) Merge(known, other store.Value) store.Value {
	if known.Version == 0 {
		return other
	}
	newer, older := known, other
	if other.Version > known.Version {
		newer, older = other, known
	}
	if store.EraOf(newer.Version) == 0 {
		return newer
	}
	o, err := DecodeOrders(newer.Data)
	before, errBefore := DecodeOrders(older.Data)
	if err != nil || errBefore != nil || !s.older(o.Configuration, before.Configuration) {
		return newer
	}
	o.Configuration = before.Configuration
	return store.Value{Data: o.Encode(), Version: newer.Version}
}

// ContentNumber implements ValueSource: the number of the configuration.
func (s *OrdersSource) ContentNumber(value []byte) uint64 {
	o, err := DecodeOrders(value)
	if err != nil || len(o.Configuration) == 0 {
		return 0
	}
	return s.Keys.Number(o.Configuration)
}

// watchFrom returns the version to wait for changes watchFrom.
func (s *OrdersSource) watchFrom(version uint64) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unchangedUpTo.version == version {
		return max(s.unchangedUpTo.upTo, version)
	}
	return version
}
