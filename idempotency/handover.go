package idempotency

import (
	"net/netip"
	"time"
)

// transferRecords is how many records a Transfer holds, so that it encodes to
// less than 1200 bytes.
const transferRecords = 12

// Transfer is a part of what a home remembers, handed over at a planned stop.
type Transfer struct {
	From        netip.AddrPort   `cbor:"1,keyasint"` // address of the home that stopped
	Incarnation uint64           `cbor:"2,keyasint"` // of its process
	Part        int              `cbor:"3,keyasint"` // from 0
	Parts       int              `cbor:"4,keyasint"`
	Fence       time.Duration    `cbor:"5,keyasint,omitempty"` // what was left of its fence
	Records     []TransferRecord `cbor:"6,keyasint,omitempty"`

	To  uint64        `cbor:"7,keyasint,omitempty"` // set by Depot.Take: incarnation of the process that may use it
	Age time.Duration `cbor:"8,keyasint,omitempty"` // set by Depot.Take
}

// TransferRecord is what a home knows of one key.
type TransferRecord struct {
	Key    Key     `cbor:"1,keyasint"`
	ID     ClaimID `cbor:"2,keyasint"`
	State  State   `cbor:"3,keyasint"`
	Status int     `cbor:"4,keyasint,omitempty"`
}

// maxTransferAge bounds the time between the stop of a home and the start of
// its successor. Electorates count the stopped home for longer than that, so to
// them it never was away. The other half of Keep is left for late datagrams.
func (c Config) maxTransferAge() time.Duration { return c.VoteRetention() / 2 }

// Handover returns all that the home remembers, for the next process at its
// address. From then on the home gives no votes: they would be missing there.
func (h *Voter) Handover(now time.Time, incarnation uint64) []Transfer {
	fence := h.fence(now)
	if !h.listed {
		fence = h.cfg.Fence()
	}
	h.closed = true
	parts := []Transfer{{}}
	for key, r := range h.records {
		if !now.Before(r.expires) {
			continue
		}
		last := &parts[len(parts)-1]
		if len(last.Records) == transferRecords {
			parts = append(parts, Transfer{})
			last = &parts[len(parts)-1]
		}
		last.Records = append(last.Records, TransferRecord{key, r.id, r.state, int(r.status)})
	}
	for i := range parts {
		p := &parts[i]
		p.From, p.Incarnation, p.Fence = h.self, incarnation, fence
		p.Part, p.Parts = i, len(parts)
	}
	return parts
}

// Accept takes in a part of what the last home at this address remembered.
// incarnation is that of this process. When all parts are there the home votes
// as if it had never stopped, and Accept returns true.
func (h *Voter) Accept(now time.Time, incarnation uint64, t Transfer) bool {
	if t.From != h.self || t.To != incarnation || t.Age > h.cfg.maxTransferAge() {
		return false
	}
	// After a vote of its own, an older record in place of a newer one would
	// free a vote that was given.
	if h.voted {
		return false
	}
	if h.source != t.Incarnation || h.accepted == nil {
		h.source = t.Incarnation
		h.accepted = make(map[int]bool)
	}
	if h.accepted[t.Part] {
		return false
	}
	h.accepted[t.Part] = true
	for _, r := range t.Records {
		if old, known := h.records[r.Key]; !known || !old.state.ran() {
			h.put(now, r.Key, record{id: r.ID, state: r.State, status: int32(r.Status)})
		}
	}
	if len(h.accepted) < t.Parts {
		return false
	}
	h.inheritBy = now.Add(h.cfg.maxTransferAge() - t.Age)
	if end := now.Add(t.Fence); h.fencedTo.IsZero() || end.Before(h.fencedTo) {
		h.fencedTo = end
	}
	return true
}

// TransferStore keeps what stopping homes hand over until their successors ask. Each
// agent has one. What was taken by one process is never given to another: that
// one would miss the votes which the first gave.
type TransferStore struct {
	cfg     Config
	entries map[deposit]*entry
}

type deposit struct {
	from        netip.AddrPort
	incarnation uint64
}

type entry struct {
	parts   map[int]Transfer
	at      time.Time // of the first part
	takenBy uint64    // incarnation of the successor; zero while not taken
}

// NewTransferStore returns an empty Depot.
func NewTransferStore(cfg Config) *TransferStore {
	return &TransferStore{cfg: cfg.withDefaults(), entries: make(map[deposit]*entry)}
}

// Put keeps a part.
func (d *TransferStore) Put(now time.Time, t Transfer) {
	id := deposit{t.From, t.Incarnation}
	e := d.entries[id]
	if e == nil {
		e = &entry{parts: make(map[int]Transfer), at: now}
		d.entries[id] = e
	}
	e.parts[t.Part] = t
}

// Take returns what was handed over for the process incarnation at addr. It may
// be asked again by the same process, if the answer was lost.
func (d *TransferStore) Take(now time.Time, addr netip.AddrPort, incarnation uint64) []Transfer {
	var parts []Transfer
	for id, e := range d.entries {
		if id.from != addr || e.takenBy != 0 && e.takenBy != incarnation {
			continue
		}
		e.takenBy = incarnation
		for _, t := range e.parts {
			t.To, t.Age = incarnation, now.Sub(e.at)
			parts = append(parts, t)
		}
	}
	return parts
}

// Tick forgets what is too old to be used. An entry is remembered for longer
// than it may be used, so that a late copy of a part doesn't revive it.
func (d *TransferStore) Tick(now time.Time) {
	for id, e := range d.entries {
		if now.Sub(e.at) > 2*d.cfg.VoteRetention() {
			delete(d.entries, id)
		}
	}
}
