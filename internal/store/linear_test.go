package store_test

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/hemlockscale/hemlockscale/catalogue"
	standin "github.com/hemlockscale/hemlockscale/internal/standin/store"
	"github.com/hemlockscale/hemlockscale/internal/store"
)

// operation is the input of an operation in the history: a read, a write of slots, or a
// delete if slots is 0.
type operation struct {
	service string
	read    bool
	slots   int
}

// result is the output of an operation.
type result struct {
	slots   int  // slots read, 0 if the entry does not exist
	refused bool // the operation had no effect
	missing bool // refused because the entry does not exist
}

// model treats the entry of each service as a register.
var model = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := make(map[string][]porcupine.Operation)
		for _, op := range history {
			service := op.Input.(operation).service
			parts[service] = append(parts[service], op)
		}
		var list [][]porcupine.Operation
		for _, p := range parts {
			list = append(list, p)
		}
		return list
	},
	Init: func() any { return 0 },
	Step: func(state, in, out any) (bool, any) {
		q, a := in.(operation), out.(result)
		switch {
		case q.read:
			return a.slots == state.(int), state
		case a.missing:
			return state.(int) == 0, state
		case a.refused:
			return true, state
		}
		return true, q.slots
	},
}

// recorder records the history of the operations of several operators.
type recorder struct {
	mu      sync.Mutex
	start   time.Time
	history []porcupine.Operation
	edits   map[catalogue.EditID]bool // accepted edits that changed an entry
	unknown int
}

func (r *recorder) add(op porcupine.Operation, id catalogue.EditID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history = append(r.history, op)
	if id != (catalogue.EditID{}) {
		r.edits[id] = true
	}
	if op.Return == math.MaxInt64 {
		r.unknown++
	}
}

func (r *recorder) now() int64 { return int64(time.Since(r.start)) }

// runOperations makes n random operations with its own client.
func (r *recorder) runOperations(t *testing.T, url string, s *standin.Server, operator, n int) {
	client, err := store.New(store.Config{URL: url})
	if err != nil {
		t.Error(err)
		return
	}
	defer client.Close()
	st := store.ForCatalogue(client)
	rng := rand.New(rand.NewPCG(uint64(operator), 9))
	for i := range n {
		if operator == 0 && i%4 == 0 { // the first operator also sets the store's faults
			s.SetFaults(standin.Faults{
				LoseResponse: float64(rng.IntN(2)) * 0.4,
				Outage:       rng.IntN(4) == 0,
				Delay:        time.Duration(rng.IntN(2)) * time.Millisecond,
			})
		}
		q := operation{service: fmt.Sprintf("s%d", rng.IntN(3)), read: rng.IntN(3) == 0}
		if rng.IntN(4) > 0 {
			q.slots = 1 + operator*1000 + i
		}
		call := r.now()
		if q.read {
			r.read(st, q, operator, call)
			continue
		}
		r.write(t, st, q, operator, call)
	}
}

func (r *recorder) read(st catalogue.Store, q operation, operator int, call int64) {
	c, _, _, err := catalogue.Load(context.Background(), st)
	if err != nil {
		return
	}
	e, _ := c.Entry(q.service)
	r.add(porcupine.Operation{ClientId: operator, Input: q, Call: call, Output: result{slots: e.Limits.Slots}, Return: r.now()}, catalogue.EditID{})
}

func (r *recorder) write(t *testing.T, st catalogue.Store, q operation, operator int, call int64) {
	edit := catalogue.Edit{Editor: "ayse", Owner: "kanatpar", Delete: []string{q.service}}
	if q.slots > 0 {
		e := catalogue.Entry{Service: q.service, Owner: "kanatpar", Class: catalogue.ClassStream, Limits: catalogue.Limits{Slots: q.slots}}
		e.Addresses = []netip.Addr{netip.AddrFrom4([4]byte{10, 0, 0, q.service[1]})}
		edit.Delete, edit.Put = nil, []catalogue.Entry{e}
	}
	a, err := (&catalogue.Editor{Store: st}).Apply(context.Background(), edit)
	op := porcupine.Operation{ClientId: operator, Input: q, Call: call, Return: r.now()}
	var (
		refused *catalogue.RefusedError
		unknown *catalogue.UnknownOutcomeError
		missing *catalogue.EntryNotFoundError
	)
	switch {
	case err == nil:
		op.Output = result{}
		if len(a.Changes) == 0 { // the entry was already equal to the edit
			a.Edit = catalogue.EditID{}
		}
		r.add(op, a.Edit)
		return
	case errors.As(err, &unknown): // may take effect at any later time
		op.Output, op.Return = result{}, math.MaxInt64
	case errors.As(err, &refused):
		op.Output = result{refused: true, missing: errors.As(err, &missing)}
	default:
		t.Errorf("untyped error %v", err)
		return
	}
	r.add(op, catalogue.EditID{})
}

// Guards against accepted edits that are missing or applied twice, and refused edits that are
// applied: four operators edit three entries concurrently while the store has outages, is slow
// and loses responses to completed writes. An unknown outcome must be read back, not retried.
func TestEditsAreLinearizable(t *testing.T) {
	s := standin.New(standin.Config{ReadRate: 1 << 20, WriteRate: 1 << 20})
	hs := httptest.NewServer(s.Handler())
	defer hs.Close()
	r := &recorder{start: time.Now(), edits: make(map[catalogue.EditID]bool)}
	var wg sync.WaitGroup
	for operator := range 4 {
		wg.Go(func() { r.runOperations(t, hs.URL, s, operator, 60) })
	}
	wg.Wait()
	if res := porcupine.CheckOperationsTimeout(model, r.history, time.Minute); res != porcupine.Ok {
		t.Fatalf("linearizability check of %d operations: %v", len(r.history), res)
	}
	s.SetFaults(standin.Faults{})
	checkHistory(t, hs.URL, r)
	t.Logf("%d operations, %d accepted edits, %d unknown", len(r.history), len(r.edits), r.unknown)
}

// checkHistory reads the store's whole history and checks that it has no gaps in its
// revisions, contains every accepted edit, and contains each edit ID once.
func checkHistory(t *testing.T, url string, r *recorder) {
	t.Helper()
	client, err := store.New(store.Config{URL: url})
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	changes, oldest, err := (&catalogue.Editor{Store: store.ForCatalogue(client)}).History(context.Background(), 0)
	if err != nil || oldest != 0 {
		t.Fatalf("history starts at revision %d, want 0: %v", oldest, err)
	}
	seen := make(map[catalogue.EditID]bool)
	for i, ch := range changes {
		if ch.Revision != uint64(i+1) || seen[ch.Edit] {
			t.Fatalf("change %d: revision %d is out of order, or edit %s is repeated", i, ch.Revision, ch.Edit)
		}
		seen[ch.Edit] = true
	}
	for id := range r.edits {
		if !seen[id] {
			t.Fatalf("accepted edit %s is not in the store", id)
		}
	}
}
