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

// votingHome returns a home whose fence has just passed at the returned time.
func votingHome(cfg Config) (*Voter, time.Time) {
	h := NewVoter(addr(1), cfg)
	h.Update(t0, MemberList{Live: addrs(1, 1)})
	now := t0.Add(cfg.Fence())
	h.Confirm(now)
	return h, now
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

// Symptom: a key runs twice, the second time just after its window began.
// Sequence: a claim gets its vote, its first byte goes out an expiry later, and
// the caller repeats it a little less than a window after that.
// Cause: the home forgets the vote a window after it gave it.
func TestVoteOutlastsWindowAfterLateStart(t *testing.T) {
	cfg := testConfig()
	h, now := votingHome(cfg)
	wantVote(t, h.Claim(now, claim(1)), Granted)
	now = now.Add(cfg.Window + cfg.Expiry)
	h.Confirm(now)
	h.Tick(now)
	wantVote(t, h.Claim(now, claim(2)), Held)
	now = t0.Add(cfg.Fence() + cfg.VoteRetention())
	h.Confirm(now)
	h.Tick(now)
	wantVote(t, h.Claim(now, claim(2)), Granted)
}

// Symptom: a home that others no longer count votes.
// Sequence: it is frozen or cut off, and answers the claims that lay in its
// socket before it hears of the present roster.
// Cause: it believes in the roster of before.
func TestHomeWithStaleRosterIsFenced(t *testing.T) {
	cfg := testConfig()
	h, now := votingHome(cfg)
	now = now.Add(cfg.Freshness + 1)
	wantVote(t, h.Claim(now, claim(1)), Fenced)
	h.Confirm(now)
	wantVote(t, h.Claim(now, claim(1)), Granted)
	h.Update(now, MemberList{Live: addrs(2, 3)})
	wantVote(t, h.Claim(now, claim(1)), Fenced)
	h.Update(now, MemberList{Live: addrs(1, 3)})
	wantVote(t, h.Claim(now, claim(1)), Fenced)
	now = now.Add(cfg.Fence())
	h.Confirm(now)
	wantVote(t, h.Claim(now, claim(1)), Granted)
}

// Symptom: a key is blocked for its window though no one runs it.
// Sequence: a claim is given up; a copy of it comes after the report of that,
// also at a home that the claim itself never reached.
// Cause: the home gives its vote to a claim that is over.
func TestLateCopyOfReleasedClaimGetsNoVote(t *testing.T) {
	for _, claimFirst := range []bool{true, false} {
		h, now := votingHome(testConfig())
		if claimFirst {
			wantVote(t, h.Claim(now, claim(1)), Granted)
		}
		h.Report(now, Report{Key: key(0), ID: claim(1).ID, State: Released})
		wantVote(t, h.Claim(now, claim(1)), Held)
		wantVote(t, h.Claim(now, claim(2)), Granted)
	}
}

// Symptom: a caller is told that its request still runs though it is done.
// Sequence: a report that it runs is overtaken by the report that it is done.
// Cause: the older report replaces the newer one.
func TestReportsThatCross(t *testing.T) {
	h, now := votingHome(testConfig())
	h.Claim(now, claim(1))
	h.Report(now, Report{Key: key(0), ID: claim(1).ID, State: Done, Status: 201})
	h.Report(now, Report{Key: key(0), ID: claim(1).ID, State: Running})
	v := h.Claim(now, claim(2))
	wantVote(t, v, Held)
	if v.State != Done || v.Status != 201 {
		t.Fatalf("vote %+v, want done with 201", v)
	}
}

// Symptom: a key runs twice while a home is short of memory.
// Sequence: a caller sends more keys than the home has room for.
// Cause: the home forgets a key before its time.
func TestFullHomeRefusesAndForgetsNothing(t *testing.T) {
	cfg := testConfig()
	cfg.MaxKeys = 2
	h, now := votingHome(cfg)
	for i := range 2 {
		wantVote(t, h.Claim(now, Claim{Key: key(i), ID: claim(uint64(i)).ID}), Granted)
	}
	v := h.Claim(now, Claim{Key: key(2), ID: claim(2).ID})
	wantVote(t, v, Full)
	if v.RetryAfter <= 0 || v.RetryAfter > cfg.VoteRetention() {
		t.Fatalf("come back after %v", v.RetryAfter)
	}
	wantVote(t, h.Claim(now, Claim{Key: key(0), ID: claim(7).ID}), Held)
	now = now.Add(cfg.VoteRetention())
	h.Confirm(now)
	wantVote(t, h.Claim(now, Claim{Key: key(2), ID: claim(2).ID}), Granted)
}

// asker returns a requester among n live homes, and the time.
func asker(cfg Config, n int) (*Requester, *Electorate, time.Time) {
	e := NewElectorate(t0, cfg)
	e.Update(t0, MemberList{Live: addrs(1, n), Complete: true})
	e.Confirm(t0)
	return NewRequester(addr(1), 1, e, cfg, rand.New(rand.NewPCG(1, 2))), e, t0
}

// votes hands q votes of kind from its first n homes.
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

// Symptom: a key runs twice; the first agent was frozen before its first byte.
// Sequence: the agent has its votes and freezes. The homes forget, another
// agent runs the key. The first resumes and sends its first byte.
// Cause: the agent doesn't look at the clock before it starts.
func TestFrozenAgentDoesNotStart(t *testing.T) {
	cfg := testConfig()
	for pause, answer := range map[time.Duration]EffectKind{
		cfg.Expiry:                       NotRun,
		cfg.VoteRetention() + cfg.Expiry: Unknown,
	} {
		q, _, now := asker(cfg, 3)
		q.Begin(now, 1, key(0))
		wantEffect(t, votes(now, q, 2, Granted), Run)
		if q.Start(now.Add(pause), 1) {
			t.Fatalf("started after a pause of %v", pause)
		}
		wantEffect(t, q.Effects(nil), answer)
	}
}

// Symptom, sequence and cause as above, but the votes lay in the socket.
func TestLateVotesAreVoid(t *testing.T) {
	cfg := testConfig()
	q, _, now := asker(cfg, 3)
	q.Begin(now, 1, key(0))
	wantEffect(t, votes(now.Add(cfg.Expiry), q, 2, Granted), Unknown)
	if q.Start(now.Add(cfg.Expiry), 1) {
		t.Fatal("started with late votes")
	}
}

// Symptom: two majorities share no home.
// Sequence: an agent is frozen while most homes are replaced, resumes, and asks
// the homes that it knows; or it has just started and doesn't know the homes
// that voted before and are gone.
// Cause: it counts other homes than the rest.
func TestAgentWithDoubtfulRosterDoesNotAsk(t *testing.T) {
	cfg := testConfig()
	q, e, now := asker(cfg, 3)
	now = now.Add(cfg.Freshness + 1)
	q.Begin(now, 1, key(0))
	wantEffect(t, q.Effects(nil), Unknown)
	e.Confirm(now)
	q.Begin(now, 2, key(0))
	wantEffect(t, q.Effects(nil), SendClaim)

	e = NewElectorate(t0, cfg)
	e.Update(t0, MemberList{Live: addrs(1, 3)})
	e.Confirm(t0)
	q = NewRequester(addr(1), 1, e, cfg, rand.New(rand.NewPCG(1, 2)))
	q.Begin(t0, 1, key(0))
	wantEffect(t, q.Effects(nil), Unknown)
}

// Symptom: both sides of a long partition run the same key.
// Sequence: the sides don't hear of each other for longer than the retention.
// Cause: the smaller side forgets the larger one and takes itself for all.
func TestSmallerSideForgetsNoOne(t *testing.T) {
	cfg := testConfig()
	for live, want := range map[int]int{2: 5, 3: 3} {
		_, e, now := asker(cfg, 5)
		e.Update(now, MemberList{Live: addrs(1, live)})
		e.Update(now.Add(cfg.Retention+1), MemberList{Live: addrs(1, live)})
		if got := len(e.list); got != want {
			t.Errorf("%d of 5 live: %d counted, want %d", live, got, want)
		}
	}
}

func TestHomesAreOrderedAndSpread(t *testing.T) {
	cfg := testConfig()
	_, e, _ := asker(cfg, 20)
	count := map[netip.AddrPort]int{}
	for i := range 10_000 {
		homes := e.voters(KeyOf(uint32(i), "", ""))
		if len(homes) != cfg.Voters {
			t.Fatalf("%d homes", len(homes))
		}
		for _, h := range homes {
			count[h]++
		}
	}
	for h, n := range count {
		if n < 2200 || n > 2800 {
			t.Errorf("%v is home of %d keys, want about 2500", h, n)
		}
	}
}

func TestMessagesFitADatagram(t *testing.T) {
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

// Symptom: a caller sends its request twice on two connections of one agent,
// and neither is run.
// Sequence: the second begins while the first collects its votes.
// Cause: both ask for votes, and each gets a part.
func TestSecondRequestAtOneAgentDoesNotAsk(t *testing.T) {
	q, _, now := asker(testConfig(), 3)
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
