package idempotency

import (
	"net/netip"
	"time"
)

// transferRecords is the number of records in a Transfer, which then encodes to
// less than 1200 bytes.
const transferRecords = 12

// Transfer is a part of a voter's records, handed over at a planned stop.
type Transfer struct {
	From        netip.AddrPort   `cbor:"1,keyasint"` // address of the voter that stopped
	Incarnation uint64           `cbor:"2,keyasint"` // of its process
	Part        int              `cbor:"3,keyasint"` // from 0
	Parts       int              `cbor:"4,keyasint"`
	Fence       time.Duration    `cbor:"5,keyasint,omitempty"` // time left of its fence
	Records     []TransferRecord `cbor:"6,keyasint,omitempty"`

	To  uint64        `cbor:"7,keyasint,omitempty"` // set by TransferStore.Take: incarnation of the process that may use it
	Age time.Duration `cbor:"8,keyasint,omitempty"` // set by TransferStore.Take: time since the first part was stored
}

// TransferRecord is a voter's record of one key.
type TransferRecord struct {
	Key    Key     `cbor:"1,keyasint"`
	ID     ClaimID `cbor:"2,keyasint"`
	State  State   `cbor:"3,keyasint"`
	Status int     `cbor:"4,keyasint,omitempty"`
}

// maxTransferAge bounds the time between the stop of a voter and the start of its
// successor. Electorates count the stopped voter for longer, so they never exclude
// it. The other half of VoteRetention is left for late datagrams.
func (c Config) maxTransferAge() time.Duration { return c.VoteRetention() / 2 }

// Handover returns the voter's records for the next process at its address. From
// then on the voter grants no votes, since they would be missing there.
func (v *Voter) Handover(now time.Time, incarnation uint64) []Transfer {
	fence := v.fenceLeft(now)
	if !v.listed {
		fence = v.cfg.Fence()
	}
	v.closed = true
	parts := []Transfer{{}}
	for key, r := range v.records {
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
		p.From, p.Incarnation, p.Fence = v.self, incarnation, fence
		p.Part, p.Parts = i, len(parts)
	}
	return parts
}

// Accept stores a part of the records of the last voter at this address.
// incarnation is that of this process. When all parts have arrived, the voter's
// fence is shortened to what was left of the last voter's fence at its stop, and
// Accept returns true.
func (v *Voter) Accept(now time.Time, incarnation uint64, t Transfer) bool {
	if t.From != v.self || t.To != incarnation || t.Age > v.cfg.maxTransferAge() {
		return false
	}
	// After a vote of its own, an older record could replace a newer one and so
	// release a granted vote.
	if v.voted {
		return false
	}
	if v.transferFrom != t.Incarnation || v.acceptedParts == nil {
		v.transferFrom = t.Incarnation
		v.acceptedParts = make(map[int]bool)
	}
	if v.acceptedParts[t.Part] {
		return false
	}
	v.acceptedParts[t.Part] = true
	for _, r := range t.Records {
		if old, known := v.records[r.Key]; !known || !old.state.ran() {
			v.put(now, r.Key, record{id: r.ID, state: r.State, status: int32(r.Status)})
		}
	}
	if len(v.acceptedParts) < t.Parts {
		return false
	}
	v.inheritUntil = now.Add(v.cfg.maxTransferAge() - t.Age)
	if end := now.Add(t.Fence); v.fencedUntil.IsZero() || end.Before(v.fencedUntil) {
		v.fencedUntil = end
	}
	return true
}

// TransferStore keeps the records of stopping voters until their successors ask
// for them. Each agent has one. Parts taken by one process are never given to
// another, which would miss the votes that the first process granted since.
type TransferStore struct {
	cfg     Config
	entries map[transferID]*entry
}

type transferID struct {
	from        netip.AddrPort
	incarnation uint64
}

type entry struct {
	parts   map[int]Transfer
	at      time.Time // when the first part was stored
	takenBy uint64    // incarnation of the successor; zero until taken
}

// NewTransferStore returns an empty TransferStore.
func NewTransferStore(cfg Config) *TransferStore {
	return &TransferStore{cfg: cfg.withDefaults(), entries: make(map[transferID]*entry)}
}

// Put stores a part of a handover.
func (s *TransferStore) Put(now time.Time, t Transfer) {
	id := transferID{t.From, t.Incarnation}
	e := s.entries[id]
	if e == nil {
		e = &entry{parts: make(map[int]Transfer), at: now}
		s.entries[id] = e
	}
	e.parts[t.Part] = t
}

// Take returns the parts handed over for the process incarnation at addr. The same
// process may call it again if the answer was lost.
func (s *TransferStore) Take(now time.Time, addr netip.AddrPort, incarnation uint64) []Transfer {
	var parts []Transfer
	for id, e := range s.entries {
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

// Tick removes parts that are too old. They are kept for longer than they may be
// used, so that a late copy of a part doesn't restore a removed handover.
func (s *TransferStore) Tick(now time.Time) {
	for id, e := range s.entries {
		if now.Sub(e.at) > 2*s.cfg.VoteRetention() {
			delete(s.entries, id)
		}
	}
}
