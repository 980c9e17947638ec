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
	departedAt    time.Time // when it failed or left; zero while it is live
	stoppedVoting bool      // it announced its departure, and had stopped voting before
	takesFlows    bool      // it accepts new flows
}

// voters holds the voters of each service, including failed and departed ones for the
// retention. Agents still count these, so that the votes they have given can't be outvoted.
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

// set applies a change of an agent's record.
func (v *voters) set(r *membership.Record, now time.Time, removed bool) {
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
	e.takesFlows = !removed && r.TakesWork()
	live := !removed && !e.stoppedVoting && r.Verdict != membership.VerdictDead
	switch {
	case live:
		e.departedAt = time.Time{}
	case e.departedAt.IsZero():
		e.departedAt = now
	}
	v.services[r.Service] = list
}

// hashAddr returns the hash by which the voters of a service are ordered.
func hashAddr(a netip.AddrPort) uint64 {
	b, _ := a.MarshalBinary() // never fails
	return xxhash.Sum64(b)
}

// respond returns the response to a request for the voter list of a service.
func (v *voters) respond(request control.VoterListRequest, now time.Time) control.VoterListResponse {
	response := control.VoterListResponse{Seq: request.Seq, Complete: now.Sub(v.started) > v.retention}
	list := v.services[request.Service]
	list = slices.DeleteFunc(list, func(e voter) bool { return !e.departedAt.IsZero() && now.Sub(e.departedAt) > v.retention })
	v.services[request.Service] = list
	for _, e := range list {
		if e.takesFlows {
			response.Serving++
		}
		switch {
		case e.departedAt.IsZero() && len(response.Live) < control.MaxVoters:
			response.Live = append(response.Live, e.addr)
		case !e.departedAt.IsZero() && len(response.Departed) < control.MaxVoters:
			response.Departed = append(response.Departed, control.DepartedVoter{Addr: e.addr, Age: uint32(now.Sub(e.departedAt) / time.Second), Left: e.stoppedVoting})
		}
	}
	return response
}

// sendVoters sends the voter list of an agent's service to the agent that requested it.
func (l *controlLoop) sendVoters(now time.Time, to netip.AddrPort, b []byte) {
	var q control.VoterListRequest
	if err := cbor.Unmarshal(b, &q); err != nil {
		l.b.metrics.controlRejected.Inc()
		return
	}
	if err := l.link.Send(seal.TopicVoterList, to, l.voters.respond(q, now)); err != nil {
		l.b.log.Error("voter list could not be sent to an agent", zap.Error(err))
	}
}
