package waiting

// Eviction chooses the share or source that gives up an entry of a full queue for a new
// entry: the one with the most entries relative to its weight, if that is more than the new
// entry's would have with it. So no single one fills the queue, and two of equal weight do
// not evict each other's entries in turn. Create it with NewEviction, and Add all that have
// entries in the queue.
type Eviction[K comparable] struct {
	key  K
	own  float64 // entries of key with the new one, by weight
	from K
	most float64 // entries of from, by weight
}

// NewEviction returns an Eviction for a new entry of key, which has the given number of
// entries in the queue. A weight of 0, negative, NaN or infinite is 1.
func NewEviction[K comparable](key K, entries int, weight float64) Eviction[K] {
	return Eviction[K]{key: key, own: float64(entries+1) / validWeight(weight)}
}

// Add adds a share or source with its number of entries in the queue. Adding that of the new
// entry has no effect.
func (e *Eviction[K]) Add(key K, entries int, weight float64) {
	if key == e.key {
		return
	}
	if n := float64(entries) / validWeight(weight); n > e.most {
		e.from, e.most = key, n
	}
}

// From returns the share or source that gives up an entry, of equal ones the one added first.
// ok is false if none does; then the new entry is refused.
func (e *Eviction[K]) From() (from K, ok bool) {
	if e.most <= e.own {
		var none K
		return none, false
	}
	return e.from, true
}
