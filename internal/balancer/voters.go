package balancer

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/hemlockscale/hemlockscale/idempotency"
	"github.com/hemlockscale/hemlockscale/internal/control"
	"github.com/hemlockscale/hemlockscale/internal/seal"
	"github.com/hemlockscale/hemlockscale/membership"
)

// voter is an agent that may vote on idempotency keys.
type voter struct {
	addr          netip.AddrPort
	hash          uint64
	departedAt    time.Time // zero while it is live
	stoppedVoting bool      // it stopped voting before it left
	takesFlows    bool      // it takes new flows
}

// voters keeps the voters of each service, the gone ones for the retention.
// Requesters that count a vanished agent keep its votes from being outvoted.
type voters struct {
	retention time.Duration
	started   time.Time
	services  map[uint32][]voter // sorted by hash
}

func newVoters(now time.Time, retention time.Duration) *voters {
	if retention == 0 {
		retention = idempotency.DefaultRetention
	}
	return &voters{retention: retention, started: now, services: make(map[uint32][]voter)}
}

// set takes in a change of an agent's record.
func (v *voters) set(r *membership.Record, now time.Time, forgotten bool) {
	list := v.services[r.Service]
	hash := hashAddr(r.Addr)
	i, found := slices.BinarySearchFunc(list, hash, func(e voter, h uint64) int {
		switch {
		case e.hash < h:
			return -1
		case e.hash > h:
			return 1
		}
		return 0
	})
	if !found {
		list = slices.Insert(list, i, voter{addr: r.Addr, hash: hash})
	}
	e := &list[i]
	e.stoppedVoting = r.State == membership.StateLeaving
	e.takesFlows = !forgotten && r.TakesWork()
	live := !forgotten && !e.stoppedVoting && r.Verdict != membership.VerdictDead
	switch {
	case live:
		e.departedAt = time.Time{}
	case e.departedAt.IsZero():
		e.departedAt = now
	}
	v.services[r.Service] = list
}

func hashAddr(a netip.AddrPort) uint64 {
	b, _ := a.MarshalBinary() // never fails
	return xxhash.Sum64(b)
}

// answer returns the voters of a service.
func (v *voters) answer(q control.RosterRequest, now time.Time) control.RosterAnswer {
	a := control.RosterAnswer{Seq: q.Seq, Complete: now.Sub(v.started) > v.retention}
	list := v.services[q.Service]
	list = slices.DeleteFunc(list, func(e voter) bool { return !e.departedAt.IsZero() && now.Sub(e.departedAt) > v.retention })
	v.services[q.Service] = list
	for _, e := range list {
		if e.takesFlows {
			a.Serving++
		}
		switch {
		case e.departedAt.IsZero() && len(a.Live) < control.MaxVoters:
			a.Live = append(a.Live, e.addr)
		case !e.departedAt.IsZero() && len(a.Gone) < control.MaxVoters:
			a.Gone = append(a.Gone, control.GoneVoter{Addr: e.addr, Age: uint32(now.Sub(e.departedAt) / time.Second), Left: e.stoppedVoting})
		}
	}
	return a
}

// sendVoters tells an agent who votes on its service's keys.
func (d *controlLoop) sendVoters(now time.Time, to netip.AddrPort, b []byte) {
	var q control.RosterRequest
	if err := cbor.Unmarshal(b, &q); err != nil {
		d.b.metrics.controlRejected.Inc()
		return
	}
	if err := d.link.Send(seal.TopicRosterIs, to, d.voters.answer(q, now)); err != nil {
		d.b.log.Error("roster not sent", zap.Error(err))
	}
}
