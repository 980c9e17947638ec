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

// Orders is what the operator has ordered, as of one revision of the store.
type Orders struct {
	Configuration []byte   // as the operator wrote it
	Evacuated     []string // availability zones that get no new flows, sorted
}

// maxEvacuated bounds the evacuated zones in an encoded value, far above the number of
// zones that an operator has. It keeps a corrupt count from exhausting the process's memory.
const maxEvacuated = 1 << 12

// OrdersError reports a value that can't be decoded as Orders.
type OrdersError struct{ Reason string }

func (e *OrdersError) Error() string {
	return fmt.Sprintf("orders can't be decoded: invalid %s; the value is corrupt or was encoded by another program version: run the same version on all processes", e.Reason)
}

// Encode returns the orders as one value: the number of zones, each zone's name preceded by
// its length, then the configuration. Equal orders have equal encodings.
func (o *Orders) Encode() []byte {
	b := make([]byte, 0, len(o.Configuration)+64)
	b = binary.AppendUvarint(b, uint64(len(o.Evacuated)))
	for _, zone := range o.Evacuated {
		b = binary.AppendUvarint(b, uint64(len(zone)))
		b = append(b, zone...)
	}
	return append(b, o.Configuration...)
}

// DecodeOrders reverses Encode. Errors: *OrdersError.
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

// OrderKeys describes the keys of the store that hold the operator's orders.
type OrderKeys struct {
	Prefix        string // common prefix of all keys
	Configuration string // key of the configuration
	// Zone returns the availability zone that is evacuated for as long as the key exists;
	// ok is false for other keys.
	Zone func(key string) (zone string, ok bool)
	// Number returns the number that the operator gave to a configuration; a newer
	// configuration has a higher number. It returns 0 if the configuration can't be read.
	Number func(configuration []byte) uint64
}

// OrdersSource reads the operator's orders from the store as one value. The value's version
// is the store's version at the read. A new version is assigned only if the orders differ or
// the store has been restored from an older copy. Reads are linearizable, so of two values
// the one with the higher version is newer.
//
// All orders share one version because the key of an evacuation is removed when the
// evacuation ends. With a version for each key, a process that missed the removal could not
// distinguish "evacuation ended" from "not read yet", and would keep a zone out of service
// or put it into service by mistake.
type OrdersSource struct {
	Store store.PrefixWatcher
	Keys  OrderKeys

	mu            sync.Mutex
	unchangedUpTo historyPosition
}

// historyPosition is a version of the orders and the version of the store up to which the
// orders are known to be unchanged.
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
		s.applyPut(&o, i.Key, i.Data, snapshot.Version)
	}
	if len(o.Configuration) == 0 {
		return store.Value{}, &store.NotFoundError{Key: s.Keys.Configuration}
	}
	return s.encodeValue(&o, known, snapshot.Version), nil
}

// Watch implements ValueSource.
func (s *OrdersSource) Watch(ctx context.Context, known store.Value) (store.Value, error) {
	o, err := decodeKnown(known)
	if err != nil {
		return s.Read(ctx, known)
	}
	changes, upTo, err := s.Store.Changes(ctx, s.Keys.Prefix, s.watchFrom(known.Version))
	var tooLarge *store.ResponseTooLargeError
	if errors.As(err, &tooLarge) {
		// The list holds several changes of a large configuration, of which only the last counts.
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

// decodeKnown decodes a value that this process has taken. The zero value stands for no orders.
func decodeKnown(known store.Value) (Orders, error) {
	if known.Version == 0 {
		return Orders{}, nil
	}
	o, err := DecodeOrders(known.Data)
	o.Evacuated = slices.Clone(o.Evacuated)
	return o, err
}

// applyPut adds the order in a key, with its data as read at a version of the store, to o. It
// ignores keys that hold no orders.
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

// applyRemoval applies the removal of a key to o. A configuration stays in force when its key
// is removed, so that an operator who removes it by mistake does not cut off every caller.
func (s *OrdersSource) applyRemoval(o *Orders, key string) {
	zone, ok := s.Keys.Zone(key)
	if !ok {
		return
	}
	if at, found := slices.BinarySearch(o.Evacuated, zone); found {
		o.Evacuated = slices.Delete(o.Evacuated, at, at+1)
	}
}

// encodeValue returns the orders at a version of the store as a value. It returns the known
// value if the orders are unchanged. In a new store era unchanged orders also get a new
// version, by which every process detects the era.
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

// newerConfiguration returns the configuration that was found at a version of the store, or
// the known one if that is newer.
//
// A store that has been restored from an older copy lacks the latest configuration until the
// operator writes it again. A process that used the store's older one would send callers
// along routes that have been removed. A store that was never restored has the latest one.
func (s *OrdersSource) newerConfiguration(found []byte, version uint64, known []byte) []byte {
	if store.EraOf(version) == 0 || !s.older(found, known) {
		return found
	}
	return known
}

// older reports whether the operator made configuration a before configuration b. It returns
// false if a can't be read; such a configuration is rejected where it is applied.
func (s *OrdersSource) older(a, b []byte) bool {
	if len(b) == 0 {
		return false
	}
	number := s.Keys.Number(a)
	return number != 0 && number < s.Keys.Number(b)
}

// Merge implements ValueSource. It returns the orders with the higher version, with the newer
// of the two configurations.
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

// ContentNumber implements ValueSource. It returns the number of the configuration.
func (s *OrdersSource) ContentNumber(value []byte) uint64 {
	o, err := DecodeOrders(value)
	if err != nil || len(o.Configuration) == 0 {
		return 0
	}
	return s.Keys.Number(o.Configuration)
}

// watchFrom returns the version of the store after which changes of the orders with the
// given version are to be watched.
func (s *OrdersSource) watchFrom(version uint64) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unchangedUpTo.version == version {
		return max(s.unchangedUpTo.upTo, version)
	}
	return version
}
