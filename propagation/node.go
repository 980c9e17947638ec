package propagation

import (
	"math/rand/v2"
	"net/netip"
	"time"
)

const (
	// Wait is how long a watch waits for a change. One that ends without any shows as
	// much as a read, so that it is one call of the store a Wait for the whole fleet.
	Wait = 1200 * time.Millisecond
	// MinAge is the least age of the latest read at which another process reads: above
	// Wait, with time for the answer to be told around.
	MinAge = 1500 * time.Millisecond
	// MaxAge is the greatest such age. With the time that a value takes to all
	// processes it stays below 3 s, in which a change has to be in force.
	MaxAge = 2400 * time.Millisecond
	// checkEvery is the time after which a watcher reads the key beside its watches:
	// a store that drops its history may have watches miss a change, without an error.
	checkEvery = 2 * Wait
	// answerTime is how much older than its arrival an answer of the store counts.
	answerTime = 50 * time.Millisecond
	// Fanout is the number of processes that are told of something new. Three reach
	// 94 in 100 processes, those that miss it hear of it with the next read.
	Fanout = 3
	// repeats is how often a process tells of a new value after the first time, each
	// to other processes, and repeatAfter the time between. Told once, six in 100
	// processes hear of a change with the next read only, up to a second later.
	repeats     = 2
	repeatAfter = 100 * time.Millisecond
	// maxNumber bounds the numbers of reads that are believed: one read a second would
	// take longer than anybody's history to get there, a damaged message need not.
	maxNumber = 1 << 48
	// hearsay is how long a process waits for an answer of others before it takes the
	// latest read that it knows for the latest there is.
	hearsay = 60 * time.Millisecond
	// sourceAfter is how long somebody who has a value is waited for once it was
	// spoken of. Those who have it say so within a few exchanges.
	sourceAfter = 50 * time.Millisecond
	// askEvery is the time between two questions to processes that did not say that
	// they have the value.
	askEvery = 300 * time.Millisecond
	// storeAfter and storeSpan bound the time after which a value that nobody gives is
	// read in the store. They are spread so that most processes have it by then from
	// the first of them.
	storeAfter = 400 * time.Millisecond
	storeSpan  = 400 * time.Millisecond
	// failBase and failMax space the repeats of failed calls of the store, startMax
	// those of a process that has no value yet and so serves nobody.
	failBase = 150 * time.Millisecond
	failMax  = 1800 * time.Millisecond
	startMax = 900 * time.Millisecond
	// refutedFor is how long a revision that the store did not have when it was read
	// is not believed in: it comes from a foreign or damaged message, and believed in
	// it would have every process read the store again and again.
	refutedFor = 5 * time.Second
	// maxSources bounds the processes remembered as having the value that is missed.
	maxSources = 3
)

// Call is a call of the store.
type Call uint8

// The calls.
const (
	None  Call = iota
	Read       // the key's value
	Watch      // wait for the next change, for Wait at most
)

// Outcome is how a call ended.
type Outcome uint8

// The outcomes.
const (
	Answered    Outcome = iota
	Failed              // no answer, or a refusal
	HistoryLost         // the store can't tell what a Watch missed
)

// Word is what one process tells another.
type Word struct {
	Revision uint64 // of the value that the sender has in force; 0 if none
	Read     ReadMark
}

// ReadMark tells of a read of the store.
type ReadMark struct {
	// Number is one more than that of the latest read that its maker knew of, 0 for no
	// read. Only a higher number is a later read. Times do not tell: the age that is
	// told of a read lacks the time that the message is under way, and told round and
	// round on full links a read seemed to be new for as long as nobody made another.
	Number uint64
	At     time.Time // when it was made, as far as known
	Reader uint64    // identity of the watcher that made it; 0 if another process did
}

// Node is the state machine of one process.
type Node struct {
	self uint64
	rng  *rand.Rand

	revision  uint64 // in force
	spoken    uint64 // the newest that anybody spoke of
	spokenAt  time.Time
	missedAt  time.Time        // since when a newer value than that in force is known to exist
	sources   []netip.AddrPort // who has the value that is missed
	patience  time.Duration    // from missedAt until the store is read
	refuted   uint64           // the store did not have it
	refutedAt time.Time
	fetching  bool
	receiving bool      // a process sends the value that is missed
	askAt     time.Time // when others may be asked who did not say that they have it

	read    ReadMark      // the latest one known
	bears   time.Duration // age of it at which this process reads
	lowerAt time.Time     // when a watcher whose identity goes before this one's was heard of
	number  uint64        // of the call under way
	ownAt   time.Time     // latest read of this process
	lostAt  time.Time     // since when reads of this process have failed; zero: the last one did not
	askedAt time.Time     // when others were asked for a later read than the one known; zero: not yet

	watcher  bool
	calling  bool
	callAt   time.Time // no call before
	reread   bool      // the next call is a Read
	refused  bool      // the last watch ended without an answer
	watchAt  time.Time // no watch before
	failures int

	tell     bool
	repeat   int // times that the value in force is told again
	repeatAt time.Time
}

// New returns the state of a process that knows nothing. self tells it from the
// others; it is drawn at random from rng.
func New(rng *rand.Rand) *Node {
	return &Node{self: rng.Uint64() | 1, rng: rng, bears: drawAge(rng)}
}

// Behind reports whether a newer value than that in force is known to exist, or none
// is in force.
func (n *Node) Behind() bool { return n.revision == 0 || n.spoken > n.revision }

// ReadAt returns when the store was last read by any process, as far as known.
func (n *Node) ReadAt() time.Time { return n.read.At }

// Took notes that a value was put in force.
func (n *Node) Took(now time.Time, revision uint64) {
	if revision <= n.revision {
		return
	}
	n.revision = revision
	n.spoken = max(n.spoken, revision)
	n.sources = n.sources[:0]
	n.tell = true
	n.repeat, n.repeatAt = repeats, now.Add(repeatAfter)
}

// Hear takes what another process tells. The process is to be told answer if ok is
// true: it knows less than this one, since nothing reaches everybody.
func (n *Node) Hear(now time.Time, from netip.AddrPort, w Word) (answer Word, ok bool) {
	n.HearOf(now, w.Revision)
	if w.Revision == n.spoken && w.Revision > n.revision && len(n.sources) < maxSources {
		n.sources = append(n.sources, from)
	}
	n.hearRead(now, w.Read)
	return n.word(), n.read.Number > w.Read.Number || n.revision > w.Revision
}

// HearOf takes what somebody tells who need not have the value: that a revision
// exists.
func (n *Node) HearOf(now time.Time, revision uint64) {
	if revision <= n.spoken || revision <= n.refuted && now.Sub(n.refutedAt) < refutedFor {
		return
	}
	if n.spoken <= n.revision {
		n.missedAt = now
		n.patience = storeAfter + below(n.rng, storeSpan)
	}
	n.spoken, n.spokenAt = revision, now
	n.sources = n.sources[:0]
}

// hearRead takes a read. It is told on if it is later than the latest one known, or has
// the same number and was made by a watcher whose identity goes before: the other
// watcher has to hear of it to stop.
func (n *Node) hearRead(now time.Time, r ReadMark) {
	if r.Number > maxNumber {
		return
	}
	later := r.Number > n.read.Number
	goesBefore := r.Number == n.read.Number && r.Reader != 0 && (n.read.Reader == 0 || r.Reader < n.read.Reader)
	if !later && !goesBefore {
		return
	}
	if r.Reader != 0 && r.Reader < n.self {
		n.lowerAt = now
	}
	n.tell = true
	n.read.Reader = r.Reader
	if later {
		n.read = r
		n.askedAt = time.Time{}
		n.bears = drawAge(n.rng)
	}
}

// drawAge draws the age of the latest read that a process bears.
func drawAge(rng *rand.Rand) time.Duration { return MinAge + below(rng, MaxAge-MinAge) }

// StoreCall returns the call of the store that is due.
func (n *Node) StoreCall(now time.Time) Call {
	switch {
	case n.calling || now.Before(n.callAt):
		return None
	case n.revision == 0 || n.reread:
		return Read
	case n.spoken > n.revision && !n.receiving && now.Sub(n.missedAt) >= n.patience:
		return Read
	case n.lost(), n.watcher && now.Sub(n.ownAt) >= checkEvery:
		return Read
	case n.watcher && !now.Before(n.watchAt):
		return Watch
	case n.overdue(now) && !n.askedAt.IsZero() && now.Sub(n.askedAt) >= hearsay:
		return Read
	}
	return None
}

// Due reports whether a call of the store, or a question to others, is due.
func (n *Node) Due(now time.Time) bool {
	_, fetch := n.Fetch(now)
	return fetch || n.StoreCall(now) != None
}

// lost reports whether the last read of this process failed, and no process has read the
// store since. One that watched for all then goes on trying: the others' draws begin 1.5 s
// after the last read, and a store that was away for a moment has lost its watchers, and
// may have lost what was written, without anybody noticing until then.
func (n *Node) lost() bool { return !n.lostAt.IsZero() && n.read.At.Before(n.lostAt) }

// overdue reports whether the latest read known is older than this process bears.
func (n *Node) overdue(now time.Time) bool {
	return now.Sub(n.read.At) >= n.bears && now.Sub(n.ownAt) >= MinAge
}

// Called notes that a call of the store begins.
func (n *Node) Called(now time.Time, c Call) {
	n.calling = true
	n.number = n.read.Number + 1
	n.watcher = n.watcher || c == Read && n.revision != 0 && (n.lost() || n.overdue(now))
}

// CallDone takes the end of a call. What it brought was handed to Took before.
func (n *Node) CallDone(now time.Time, c Call, begun time.Time, o Outcome) {
	n.calling = false
	n.reread = c == Watch && o != Answered // a watch that was cut may have missed a change
	switch {
	case o == Answered:
		n.answered(now, c, begun)
	case c == Watch:
		n.watchRefused(begun)
	case c == Read:
		if n.lostAt.IsZero() {
			n.lostAt = begun
		}
		n.watcher = false // the others' draws find one that the store serves
		n.callAt = now.Add(n.backoff())
	}
	if n.lowerAt.After(begun.Add(-Wait / 2)) {
		n.watcher = false // another one watches, and goes before this one
	}
}

// watchRefused has watches that fail in a row begin no more often than those that hear
// nothing. One may have been cut by chance; a store that serves reads and refuses every
// watch would be called without a pause.
func (n *Node) watchRefused(begun time.Time) {
	if n.refused {
		n.watchAt = begun.Add(Wait)
	}
	n.refused = true
}

func (n *Node) answered(now time.Time, c Call, begun time.Time) {
	n.failures = 0
	n.refused = n.refused && c != Watch
	at := begun
	if took := now.Sub(begun); took <= Wait+answerTime {
		at = maxTime(begun, now.Add(-answerTime))
	}
	if c == Read {
		at = begun
		n.ownAt = begun
		n.lostAt = time.Time{}
		n.refute(now, begun)
	}
	n.hearRead(now, ReadMark{Number: n.number, At: at, Reader: n.reader()})
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// reader returns the identity that the process's reads are told with: 0 if it does not
// watch, so that no watcher stops for a read that is made once.
func (n *Node) reader() uint64 {
	if n.watcher {
		return n.self
	}
	return 0
}

// refute gives up a revision that was spoken of before a read began that did not find
// it.
func (n *Node) refute(now, begun time.Time) {
	if n.spoken > n.revision && n.spokenAt.Before(begun) {
		n.refuted, n.refutedAt = n.spoken, now
		n.spoken = n.revision
		n.sources = n.sources[:0]
	}
}

// backoff returns the time before the store is called again after a failure. Refused
// calls are priced like others.
func (n *Node) backoff() time.Duration {
	longest := failMax
	if n.revision == 0 {
		longest = startMax
	}
	d := min(failBase<<min(n.failures, 10), longest)
	n.failures++
	return d/2 + below(n.rng, d/2)
}

// Fetch returns who to take a missing value from: a process that said that it has it,
// or the zero value for any few of them. ok is false if there is nothing to take.
func (n *Node) Fetch(now time.Time) (from netip.AddrPort, ok bool) {
	if n.fetching || !n.Behind() {
		return netip.AddrPort{}, false
	}
	if len(n.sources) > 0 {
		return n.sources[0], true
	}
	waited := n.revision == 0 || now.Sub(n.missedAt) >= sourceAfter
	return netip.AddrPort{}, waited && !now.Before(n.askAt)
}

// Fetching notes that the value is being taken from others.
func (n *Node) Fetching(now time.Time) {
	n.fetching = true
	if len(n.sources) == 0 {
		n.askAt = now.Add(askEvery)
	}
}

// Receiving notes that a process has begun to send the value. The store is not read
// meanwhile for want of it: both answers would share the link, and arrive later.
func (n *Node) Receiving() { n.receiving = true }

// Fetched takes the end of it. What it brought was handed to Took before.
func (n *Node) Fetched() {
	n.fetching, n.receiving = false, false
	if n.Behind() && len(n.sources) > 0 {
		n.sources = n.sources[1:]
	}
}

// Tell returns what Fanout others are to be told now; ok is false if it is nothing. A
// process whose latest read gets too old tells it as well: those who know of a later
// one answer.
func (n *Node) Tell(now time.Time) (w Word, ok bool) {
	if n.revision != 0 && !n.watcher && n.overdue(now) && n.askedAt.IsZero() {
		n.askedAt = now
		n.tell = true
	}
	if n.repeat > 0 && !now.Before(n.repeatAt) {
		n.repeat--
		n.repeatAt = now.Add(repeatAfter)
		n.tell = true
	}
	ok = n.tell
	n.tell = false
	return n.word(), ok
}

func (n *Node) word() Word { return Word{Revision: n.revision, Read: n.read} }

// below draws a time below d.
func below(rng *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(rng.Int64N(int64(d)))
}
