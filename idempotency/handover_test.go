package idempotency

import (
	"math"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// stopped returns what a home hands over that voted for claim(1), and the time.
func stopped(t *testing.T, cfg Config) ([]Transfer, time.Time) {
	h, now := votingHome(cfg)
	wantVote(t, h.Claim(now, claim(1)), Granted)
	parts := h.Handover(now, 1)
	wantVote(t, h.Claim(now, claim(1)), Fenced)
	return parts, now
}

// successor returns a home that has just started at the same address.
func successor(now time.Time, cfg Config) *Voter {
	h := NewVoter(addr(1), cfg)
	h.Update(now, MemberList{Live: addrs(1, 1)})
	h.Confirm(now)
	return h
}

func TestHandoverEndsFenceAndKeepsVotes(t *testing.T) {
	cfg := testConfig()
	parts, now := stopped(t, cfg)
	d := NewTransferStore(cfg)
	d.Put(now, parts[0])
	now = now.Add(time.Second)
	h := successor(now, cfg)
	if !h.Accept(now, 2, d.Take(now, addr(1), 2)[0]) {
		t.Fatal("not taken over")
	}
	wantVote(t, h.Claim(now, claim(2)), Held)
	wantVote(t, h.Claim(now, Claim{Key: key(1), ID: claim(2).ID}), Granted)
}

// Symptom: a key runs twice after two restarts.
// Sequence: a home stops, its successor takes over, votes and crashes. The next
// one gets the same handover, which doesn't have the successor's votes.
// Cause: a handover is given to two processes.
func TestHandoverGoesToOneProcess(t *testing.T) {
	cfg := testConfig()
	parts, now := stopped(t, cfg)
	d := NewTransferStore(cfg)
	d.Put(now, parts[0])
	first := d.Take(now, addr(1), 2)
	if again := d.Take(now, addr(1), 2); len(first) != 1 || len(again) != 1 {
		t.Fatalf("the successor got %d and %d parts, want 1 each time", len(first), len(again))
	}
	d.Put(now, parts[0]) // a late copy
	if third := d.Take(now, addr(1), 3); len(third) != 0 {
		t.Fatal("given to a second process")
	}
	h := successor(now, cfg)
	if h.Accept(now, 3, first[0]) {
		t.Fatal("a copy meant for the process before was taken over")
	}
	wantVote(t, h.Claim(now, claim(2)), Fenced)
}

// Symptom: a home votes though requesters don't count it.
// Sequence: it stops as planned and starts again long after.
// Cause: it takes over a handover from before it was forgotten.
func TestOldHandoverIsRefused(t *testing.T) {
	cfg := testConfig()
	parts, now := stopped(t, cfg)
	d := NewTransferStore(cfg)
	d.Put(now, parts[0])
	now = now.Add(cfg.VoteRetention())
	h := successor(now, cfg)
	if h.Accept(now, 2, d.Take(now, addr(1), 2)[0]) {
		t.Fatal("an old handover was taken over")
	}
	now = now.Add(2 * cfg.VoteRetention())
	d.Tick(now)
	if len(d.Take(now, addr(1), 2)) != 0 {
		t.Fatal("remembered for good")
	}
}

// Symptom: a restarted home votes although the one before was still fenced.
// Sequence: a home crashes, starts, and is stopped as planned soon after.
// Cause: the handover ends a fence that wasn't over.
func TestHandoverPassesOnFence(t *testing.T) {
	cfg := testConfig()
	before := successor(t0, cfg)
	parts := before.Handover(t0, 1)
	d := NewTransferStore(cfg)
	d.Put(t0, parts[0])
	h := successor(t0, cfg)
	h.Accept(t0, 2, d.Take(t0, addr(1), 2)[0])
	wantVote(t, h.Claim(t0, claim(1)), Fenced)
}

// Symptom: a vote is given twice.
// Sequence: a home has begun to vote when a copy of a handover comes.
// Cause: the older record takes the place of the newer one.
func TestHandoverAfterVoteIsRefused(t *testing.T) {
	cfg := testConfig()
	parts, _ := stopped(t, cfg)
	h, now := votingHome(cfg)
	parts[0].To = 2
	parts[0].Records[0].State = Released
	wantVote(t, h.Claim(now, claim(5)), Granted)
	if h.Accept(now, 2, parts[0]) {
		t.Fatal("taken over after a vote")
	}
	wantVote(t, h.Claim(now, claim(6)), Held)
}

func TestHandoverNeedsAllPartsAndFitsDatagrams(t *testing.T) {
	cfg := testConfig()
	h, now := votingHome(cfg)
	const keys = 3*transferRecords + 1
	for i := range keys {
		id := ClaimID{Agent: addr(255), Incarnation: math.MaxUint64, Seq: math.MaxUint64}
		h.Claim(now, Claim{Key: benchKey(i), ID: id})
	}
	parts := h.Handover(now, math.MaxUint64)
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

// Symptom: a handover has no effect, or has it for good.
// Sequence: it comes before the first roster; or the roster names the home only
// long after.
// Cause: the first roster begins a fence anew; or it never does.
func TestHandoverBeforeFirstRoster(t *testing.T) {
	cfg := testConfig()
	for pause, want := range map[time.Duration]VoteKind{time.Second: Granted, cfg.VoteRetention(): Fenced} {
		parts, now := stopped(t, cfg)
		parts[0].To = 2
		h := NewVoter(addr(1), cfg)
		if !h.Accept(now, 2, parts[0]) {
			t.Fatal("not taken over")
		}
		now = now.Add(pause)
		h.Update(now, MemberList{Live: addrs(1, 1)})
		h.Confirm(now)
		wantVote(t, h.Claim(now, Claim{Key: key(1), ID: claim(2).ID}), want)
	}
}

// Symptom: taking over makes a home wait for longer.
// Sequence: its own fence is nearly over when the handover comes, from a home
// that was fenced for longer.
// Cause: the longer fence replaces the shorter one.
func TestHandoverLengthensNoFence(t *testing.T) {
	cfg := testConfig()
	parts, _ := stopped(t, cfg)
	parts[0].To, parts[0].Fence = 2, cfg.Fence()
	h, now := votingHome(cfg)
	h.Accept(now, 2, parts[0])
	wantVote(t, h.Claim(now, Claim{Key: key(1), ID: claim(2).ID}), Granted)
}
