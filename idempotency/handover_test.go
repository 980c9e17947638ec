package idempotency

import (
	"math"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// newHandover returns the handover of a stopped voter that voted for claim(1), and
// the time.
func newHandover(t *testing.T, cfg Config) ([]Transfer, time.Time) {
	voter, now := newVotingVoter(cfg)
	wantVote(t, voter.Claim(now, claim(1)), Granted)
	parts := voter.Handover(now, 1)
	wantVote(t, voter.Claim(now, claim(1)), Fenced)
	return parts, now
}

// successor returns a voter that has just started at the same address.
func successor(now time.Time, cfg Config) *Voter {
	voter := NewVoter(addr(1), cfg)
	voter.Update(now, VoterList{Live: addrs(1, 1)})
	voter.Confirm(now)
	return voter
}

func TestHandoverEndsFenceAndKeepsVotes(t *testing.T) {
	cfg := testConfig()
	parts, now := newHandover(t, cfg)
	transfers := NewTransferStore(cfg)
	transfers.Put(now, parts[0])
	now = now.Add(time.Second)
	voter := successor(now, cfg)
	if !voter.Accept(now, 2, transfers.Take(now, addr(1), 2)[0]) {
		t.Fatal("handover not accepted")
	}
	wantVote(t, voter.Claim(now, claim(2)), Held)
	wantVote(t, voter.Claim(now, Claim{Key: key(1), ID: claim(2).ID}), Granted)
}

// Guards against a request that runs twice for a key after two restarts: a voter accepts
// a handover, votes and crashes, and the next process at its address gets the same
// handover, which lacks those votes.
func TestHandoverGoesToOneProcess(t *testing.T) {
	cfg := testConfig()
	parts, now := newHandover(t, cfg)
	transfers := NewTransferStore(cfg)
	transfers.Put(now, parts[0])
	first := transfers.Take(now, addr(1), 2)
	if again := transfers.Take(now, addr(1), 2); len(first) != 1 || len(again) != 1 {
		t.Fatalf("the successor got %d and %d parts, want 1 each time", len(first), len(again))
	}
	transfers.Put(now, parts[0]) // a late copy
	if third := transfers.Take(now, addr(1), 3); len(third) != 0 {
		t.Fatal("handover given to a second process")
	}
	voter := successor(now, cfg)
	if voter.Accept(now, 3, first[0]) {
		t.Fatal("accepted a copy meant for the previous process")
	}
	wantVote(t, voter.Claim(now, claim(2)), Fenced)
}

// Guards against a voter that votes although requesters don't count it any more: it
// starts long after its planned stop and accepts a handover that is too old.
func TestOldHandoverIsRefused(t *testing.T) {
	cfg := testConfig()
	parts, now := newHandover(t, cfg)
	transfers := NewTransferStore(cfg)
	transfers.Put(now, parts[0])
	now = now.Add(cfg.VoteRetention())
	voter := successor(now, cfg)
	if voter.Accept(now, 2, transfers.Take(now, addr(1), 2)[0]) {
		t.Fatal("accepted an old handover")
	}
	now = now.Add(2 * cfg.VoteRetention())
	transfers.Tick(now)
	if len(transfers.Take(now, addr(1), 2)) != 0 {
		t.Fatal("an expired handover is still stored")
	}
}

// Guards against a handover that ends a fence early: a voter crashes, starts again,
// and is stopped as planned before its own fence is over.
func TestHandoverPassesOnFence(t *testing.T) {
	cfg := testConfig()
	before := successor(t0, cfg)
	parts := before.Handover(t0, 1)
	transfers := NewTransferStore(cfg)
	transfers.Put(t0, parts[0])
	voter := successor(t0, cfg)
	voter.Accept(t0, 2, transfers.Take(t0, addr(1), 2)[0])
	wantVote(t, voter.Claim(t0, claim(1)), Fenced)
}

// Guards against a vote granted twice: a copy of a handover arrives after the voter
// has begun to vote, and its older record replaces the newer one.
func TestHandoverAfterVoteIsRefused(t *testing.T) {
	cfg := testConfig()
	parts, _ := newHandover(t, cfg)
	voter, now := newVotingVoter(cfg)
	parts[0].To = 2
	parts[0].Records[0].State = Released
	wantVote(t, voter.Claim(now, claim(5)), Granted)
	if voter.Accept(now, 2, parts[0]) {
		t.Fatal("handover accepted after a vote")
	}
	wantVote(t, voter.Claim(now, claim(6)), Held)
}

func TestHandoverNeedsAllPartsAndFitsDatagrams(t *testing.T) {
	cfg := testConfig()
	voter, now := newVotingVoter(cfg)
	const keys = 3*transferRecords + 1
	for i := range keys {
		id := ClaimID{Agent: addr(255), Incarnation: math.MaxUint64, Seq: math.MaxUint64}
		voter.Claim(now, Claim{Key: benchKey(i), ID: id})
	}
	parts := voter.Handover(now, math.MaxUint64)
	next := successor(now, cfg)
	for i, p := range parts {
		p.To, p.Age = math.MaxUint64, time.Second
		if b, err := cbor.Marshal(p); err != nil || len(b) > 1200 {
			t.Fatalf("part takes %d bytes: %v", len(b), err)
		}
		if all := next.Accept(now, p.To, p); all != (i == len(parts)-1) {
			t.Fatalf("part %d of %d: complete is %v", i, len(parts), all)
		}
	}
	if len(parts) != 4 || next.Len() != keys {
		t.Fatalf("%d parts, %d keys", len(parts), next.Len())
	}
}

// Guards against a handover that arrives before the first voter list and has no
// effect because that list starts a new fence, or one that still has effect when
// the voter is listed only long after.
func TestHandoverBeforeFirstVoterList(t *testing.T) {
	cfg := testConfig()
	for pause, want := range map[time.Duration]VoteKind{time.Second: Granted, cfg.VoteRetention(): Fenced} {
		parts, now := newHandover(t, cfg)
		parts[0].To = 2
		voter := NewVoter(addr(1), cfg)
		if !voter.Accept(now, 2, parts[0]) {
			t.Fatal("handover not accepted")
		}
		now = now.Add(pause)
		voter.Update(now, VoterList{Live: addrs(1, 1)})
		voter.Confirm(now)
		wantVote(t, voter.Claim(now, Claim{Key: key(1), ID: claim(2).ID}), want)
	}
}

// Guards against a handover that lengthens a voter's fence: the voter's own fence is
// nearly over, and the stopped voter was fenced for longer.
func TestHandoverLengthensNoFence(t *testing.T) {
	cfg := testConfig()
	parts, _ := newHandover(t, cfg)
	parts[0].To, parts[0].Fence = 2, cfg.Fence()
	voter, now := newVotingVoter(cfg)
	voter.Accept(now, 2, parts[0])
	wantVote(t, voter.Claim(now, Claim{Key: key(1), ID: claim(2).ID}), Granted)
}
