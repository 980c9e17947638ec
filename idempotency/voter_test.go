package idempotency

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

func addr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i)}), 7000)
}

func addrs(from, to int) []netip.AddrPort {
	var list []netip.AddrPort
	for i := from; i <= to; i++ {
		list = append(list, addr(i))
	}
	return list
}

// newVotingVoter returns a voter whose fence has just ended at the returned time.
func newVotingVoter(cfg Config) (*Voter, time.Time) {
	voter := NewVoter(addr(1), cfg)
	voter.Update(t0, VoterList{Live: addrs(1, 1)})
	now := t0.Add(cfg.Fence())
	voter.Confirm(now)
	return voter, now
}

func claim(seq uint64) Claim {
	return Claim{Key: key(0), ID: ClaimID{Agent: addr(9), Incarnation: 1, Seq: seq}}
}

func wantVote(t *testing.T, v Vote, kind VoteKind) {
	t.Helper()
	if v.Kind != kind {
		t.Fatalf("vote %+v, want kind %d", v, kind)
	}
}

// Guards against a request that runs twice for a key because the key's vote is removed
// one window after it was granted: the first byte may be sent an Expiry later, and a
// repeat a little less than a window after that must still be answered Held.
func TestVoteOutlastsWindowAfterLateStart(t *testing.T) {
	cfg := testConfig()
	voter, now := newVotingVoter(cfg)
	wantVote(t, voter.Claim(now, claim(1)), Granted)
	now = now.Add(cfg.Window + cfg.Expiry)
	voter.Confirm(now)
	voter.Tick(now)
	wantVote(t, voter.Claim(now, claim(2)), Held)
	now = t0.Add(cfg.Fence() + cfg.VoteRetention())
	voter.Confirm(now)
	voter.Tick(now)
	wantVote(t, voter.Claim(now, claim(2)), Granted)
}

// Guards against votes of a voter that requesters no longer count: after a pause or
// cut it answers claims that waited in its socket, with an outdated voter list.
func TestVoterWithStaleVoterListIsFenced(t *testing.T) {
	cfg := testConfig()
	voter, now := newVotingVoter(cfg)
	now = now.Add(cfg.Freshness + 1)
	wantVote(t, voter.Claim(now, claim(1)), Fenced)
	voter.Confirm(now)
	wantVote(t, voter.Claim(now, claim(1)), Granted)
	voter.Update(now, VoterList{Live: addrs(2, 3)})
	wantVote(t, voter.Claim(now, claim(1)), Fenced)
	voter.Update(now, VoterList{Live: addrs(1, 3)})
	wantVote(t, voter.Claim(now, claim(1)), Fenced)
	now = now.Add(cfg.Fence())
	voter.Confirm(now)
	wantVote(t, voter.Claim(now, claim(1)), Granted)
}

// Guards against a key that is blocked for its window although no request runs for it: a
// copy of a released claim arrives after its report, also at a voter that never
// received the claim itself, and gets the vote.
func TestLateCopyOfReleasedClaimGetsNoVote(t *testing.T) {
	for _, claimFirst := range []bool{true, false} {
		voter, now := newVotingVoter(testConfig())
		if claimFirst {
			wantVote(t, voter.Claim(now, claim(1)), Granted)
		}
		voter.Report(now, Report{Key: key(0), ID: claim(1).ID, State: Released})
		wantVote(t, voter.Claim(now, claim(1)), Held)
		wantVote(t, voter.Claim(now, claim(2)), Granted)
	}
}

// Guards against an answer that a request is running although it is done: an older
// report arrives after the newer one and replaces it.
func TestReorderedReportsKeepLatestState(t *testing.T) {
	voter, now := newVotingVoter(testConfig())
	voter.Claim(now, claim(1))
	voter.Report(now, Report{Key: key(0), ID: claim(1).ID, State: Done, Status: 201})
	voter.Report(now, Report{Key: key(0), ID: claim(1).ID, State: Running})
	v := voter.Claim(now, claim(2))
	wantVote(t, v, Held)
	if v.State != Done || v.Status != 201 {
		t.Fatalf("vote %+v, want done with 201", v)
	}
}

// Guards against a request that runs twice for a key because a voter without capacity
// for more keys removes an older one before it expires.
func TestFullVoterRefusesAndKeepsKeys(t *testing.T) {
	cfg := testConfig()
	cfg.MaxKeys = 2
	voter, now := newVotingVoter(cfg)
	for i := range 2 {
		wantVote(t, voter.Claim(now, Claim{Key: key(i), ID: claim(uint64(i)).ID}), Granted)
	}
	v := voter.Claim(now, Claim{Key: key(2), ID: claim(2).ID})
	wantVote(t, v, Full)
	if v.RetryAfter <= 0 || v.RetryAfter > cfg.VoteRetention() {
		t.Fatalf("RetryAfter %v", v.RetryAfter)
	}
	wantVote(t, voter.Claim(now, Claim{Key: key(0), ID: claim(7).ID}), Held)
	now = now.Add(cfg.VoteRetention())
	voter.Confirm(now)
	wantVote(t, voter.Claim(now, Claim{Key: key(2), ID: claim(2).ID}), Granted)
}

// newRequester returns a requester among n live voters, and the time.
func newRequester(cfg Config, n int) (*Requester, *Electorate, time.Time) {
	e := NewElectorate(t0, cfg)
	e.Update(t0, VoterList{Live: addrs(1, n), Complete: true})
	e.Confirm(t0)
	return NewRequester(addr(1), 1, e, cfg, rand.New(rand.NewPCG(1, 2))), e, t0
}

// votes passes votes of kind from the first n voters of q to q.
func votes(now time.Time, q *Requester, n int, kind VoteKind) []Effect {
	sent := q.Effects(nil)
	for _, e := range sent[:n] {
		q.Receive(now, e.To, Vote{Key: e.Claim.Key, ID: e.Claim.ID, Kind: kind})
	}
	return q.Effects(nil)
}

func wantEffect(t *testing.T, effects []Effect, kind EffectKind) {
	t.Helper()
	for _, e := range effects {
		if e.Kind == kind {
			return
		}
	}
	t.Fatalf("no %v among %v", kind, effects)
}

// Guards against a request that runs twice for a key after a pause: an agent with the
// key's votes is paused before the first byte, the voters remove their votes, another
// agent runs a request for the key, and the first one resumes and starts its request
// without checking the time.
func TestPausedAgentDoesNotStart(t *testing.T) {
	cfg := testConfig()
	for pause, answer := range map[time.Duration]EffectKind{
		cfg.Expiry:                       NotRun,
		cfg.VoteRetention() + cfg.Expiry: Unknown,
	} {
		q, _, now := newRequester(cfg, 3)
		q.Begin(now, 1, key(0))
		wantEffect(t, votes(now, q, 2, Granted), Run)
		if q.Start(now.Add(pause), 1) {
			t.Fatalf("started after a pause of %v", pause)
		}
		wantEffect(t, q.Effects(nil), answer)
	}
}

// Guards against a request that runs twice for a key after a pause: the votes waited in
// the agent's socket during the pause, and the agent counts them as new.
func TestLateVotesAreVoid(t *testing.T) {
	cfg := testConfig()
	q, _, now := newRequester(cfg, 3)
	q.Begin(now, 1, key(0))
	wantEffect(t, votes(now.Add(cfg.Expiry), q, 2, Granted), Unknown)
	if q.Start(now.Add(cfg.Expiry), 1) {
		t.Fatal("started with late votes")
	}
}

// Guards against two majorities that share no voter. An agent may count the wrong
// voters after a pause in which most were replaced, or after a recent start, when
// it doesn't know departed voters.
func TestRequesterWithStaleVoterListDoesNotAsk(t *testing.T) {
	cfg := testConfig()
	q, e, now := newRequester(cfg, 3)
	now = now.Add(cfg.Freshness + 1)
	q.Begin(now, 1, key(0))
	wantEffect(t, q.Effects(nil), Unknown)
	e.Confirm(now)
	q.Begin(now, 2, key(0))
	wantEffect(t, q.Effects(nil), SendClaim)

	e = NewElectorate(t0, cfg)
	e.Update(t0, VoterList{Live: addrs(1, 3)})
	e.Confirm(t0)
	q = NewRequester(addr(1), 1, e, cfg, rand.New(rand.NewPCG(1, 2)))
	q.Begin(t0, 1, key(0))
	wantEffect(t, q.Effects(nil), Unknown)
}

// Guards against requests that run for one key on both sides of a partition that lasts
// longer than the retention, because the smaller side stops counting the larger one.
func TestSmallerPartitionKeepsDepartedVoters(t *testing.T) {
	cfg := testConfig()
	for live, want := range map[int]int{2: 5, 3: 3} {
		_, e, now := newRequester(cfg, 5)
		e.Update(now, VoterList{Live: addrs(1, live)})
		e.Update(now.Add(cfg.Retention+1), VoterList{Live: addrs(1, live)})
		if got := len(e.list); got != want {
			t.Errorf("%d of 5 live: %d counted, want %d", live, got, want)
		}
	}
}

func TestVotersAreOrderedAndSpread(t *testing.T) {
	cfg := testConfig()
	_, e, _ := newRequester(cfg, 20)
	count := map[netip.AddrPort]int{}
	for i := range 10_000 {
		voters := e.voters(KeyOf(uint32(i), "", ""))
		if len(voters) != cfg.Voters {
			t.Fatalf("%d voters", len(voters))
		}
		for _, h := range voters {
			count[h]++
		}
	}
	for h, n := range count {
		if n < 2200 || n > 2800 {
			t.Errorf("%v is a voter of %d keys, want about 2500", h, n)
		}
	}
}

func TestMessagesStayWithin200Bytes(t *testing.T) {
	id := ClaimID{Agent: netip.MustParseAddrPort("255.255.255.255:65535"), Incarnation: 1<<64 - 1, Seq: 1<<64 - 1}
	k := KeyOf(1, "a", "b")
	for _, m := range []any{
		Claim{Key: k, ID: id},
		Report{Key: k, ID: id, State: Released, Status: 599},
		Vote{Key: k, ID: id, Kind: Full, Holder: id, State: Released, Status: 599, RetryAfter: time.Hour},
	} {
		b, err := cbor.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%T: %d bytes", m, len(b))
		if len(b) > 200 {
			t.Errorf("%T takes %d bytes", m, len(b))
		}
	}
	var back Claim
	b, _ := cbor.Marshal(Claim{Key: k, ID: id})
	if err := cbor.Unmarshal(b, &back); err != nil || back.ID != id || back.Key != k {
		t.Fatalf("%+v %v", back, err)
	}
}

// Guards against a request that is sent on two connections of one agent and runs on
// neither, because both collect votes and each gets a part of them.
func TestSecondRequestAtOneAgentDoesNotAsk(t *testing.T) {
	q, _, now := newRequester(testConfig(), 3)
	q.Begin(now, 1, key(0))
	q.Begin(now, 2, key(0))
	sent := q.Effects(nil)
	wantEffect(t, sent, Duplicate)
	if len(sent) != 4 {
		t.Fatalf("%d effects, want 3 claims and an answer", len(sent))
	}
}

func addrPort(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(i >> 8), byte(i)}), 7000)
}
