package propagation

import (
	"math/rand/v2"
	"net/netip"
	"time"
)

const (
	// WatchTimeout is how long a watch waits for a change. One that ends without any shows as
	// much as a read, so that it is one call of the store a WatchTimeout for the whole fleet.
	WatchTimeout = 1200 * time.Millisecond
	// MinReadAge is the least age of the latest read at which another process reads: above
	// Wait, with time for the digest of the answer to spread.
	MinReadAge = 1500 * time.Millisecond
	// MaxReadAge is the greatest such age. With the time that a value takes to all
	// processes it stays below 3 s, in which a change has to be in force.
	MaxReadAge = 2400 * time.Millisecond
	// checkEvery is the time after which a watcher reads the key beside its watches:
	// a store that drops its history may have watches miss a change, without an error.
	checkEvery = 2 * WatchTimeout
	// startMinAge and startMaxAge are the same while no process is known to have watched:
	// after a start of the whole fleet nobody does, and what happens to the store shows
	// nowhere until somebody reads it.
	startMinAge = 150 * time.Millisecond
	startMaxAge = 600 * time.Millisecond
	// answerTime is how much older than its arrival an answer of the store counts.
	answerTime = 50 * time.Millisecond
	// Fanout is the number of processes that a digest is sent to. A few processes are
	// missed by all; they receive the digest of the next read.
	Fanout = 3
	// repeats is how often the digest of a new value is sent again, each time to other
	// processes, and repeatAfter the time between: those that the first one missed would
	// wait for the next read.
	repeats     = 2
	repeatAfter = 100 * time.Millisecond
	// maxNumber bounds the numbers of reads that are accepted: no fleet makes as many
	// reads, a damaged message may claim them.
	maxNumber = 1 << 48
	// answerWait is how long a process whose latest read is overdue waits for the digests
	// of others before it reads.
	answerWait = 60 * time.Millisecond
	// sourceAfter is how long the digest of a process that has a new value is waited for
	// before any others are asked.
	sourceAfter = 50 * time.Millisecond
	// askEvery is the time between two questions to processes that have not announced the
	// value.
	askEvery = 300 * time.Millisecond
	// storeAfter and storeSpan bound the time after which a value that no process sends is
	// read in the store. The reads are spread: most processes get the value from the first
	// one that has read it.
	storeAfter = 400 * time.Millisecond
	storeSpan  = 400 * time.Millisecond
	// failBase and failMax space the repeats of failed calls of the store, startMax
	// those of a process that has no value yet and so serves nobody. The first failBefore
	// repeats are not spaced further: most outages are that short, and what the store lost
	// in one has to be found out soon.
	failBefore = 2
	failBase   = 150 * time.Millisecond
	failMax    = 1800 * time.Millisecond
	startMax   = 900 * time.Millisecond
	// rejectedFor is how long a revision that the store did not have is ignored: it comes
	// from a foreign or damaged message, and every process would read the store for it.
	rejectedFor = 5 * time.Second
	// maxSources bounds the processes remembered as having the value that is missed.
	maxSources = 3
)

// PeerQueryTimeout is how long a process that starts asks others before it puts in force what a
// store has that came back from an older copy. Others may have something newer; above two
// exchanges with the farthest process and one with the store.
const PeerQueryTimeout = 250 * time.Millisecond

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

// Digest is what processes send each other: the value that the sender has, and the latest
// read of the store that it knows.
type Digest struct {
	Revision uint64 // of the value that the sender has in force; 0 if none
	// Content is the number that the writer gave to what the sender has in force, 0 if it is
	// not numbered. It tells two values apart that have the same revision: a store that came
	// back from an older copy lacks what some processes still have.
	Content uint64
	Read    ReadMark
}

// ReadMark identifies a read of the store.
type ReadMark struct {
	// Number is one more than that of the latest read that its maker knew, 0 for no read.
	// Only a higher number is a later read. Ages can't order reads: they lack the time that
	// messages are under way, so that an old read looks new if it goes round.
	Number uint64
	At     time.Time // when it was made, as far as known
	Reader uint64    // identity of the watcher that made it; 0 if another process did
}

// Node is the state machine of one process.
type Node struct {
	self uint64
	rng  *rand.Rand

	revision      uint64 // in force
	newestKnown   uint64 // newest revision that any digest or message named
	newestKnownAt time.Time
	behindSince   time.Time        // since when a newer value than that in force is known to exist
	content       uint64           // number of the content in force
	sources       []netip.AddrPort // who has the value that is missed
	asked         netip.AddrPort   // the one of them that is being asked
	readAfter     time.Duration    // from behindSince until the store is read
	rejected      uint64           // the store did not have it
	rejectedAt    time.Time
	fetching      bool
	receiving     bool      // a process sends the value that is missed
	askAt         time.Time // when others may be asked who did not say that they have it

	read       ReadMark      // the latest one known
	maxReadAge time.Duration // age of it at which this process reads
	watched    bool          // some process has watched, as far as known
	number     uint64        // of the call under way
	ownAt      time.Time     // latest read of this process
	lostAt     time.Time     // since when reads of this process have failed; zero: the last one did not
	askedAt    time.Time     // when others were asked for a later read than the one known; zero: not yet

	watcher  bool
	calling  bool
	callAt   time.Time // no call before
	reread   bool      // the next call is a Read
	refused  bool      // the last watch ended without an answer
	watchAt  time.Time // no watch before
	failures int

	digestDue   bool
	repeatsLeft int // times that the digest of the value in force is sent again
	repeatAt    time.Time
}

// New returns the state of a process that knows nothing. self tells it from the
// others; it is drawn at random from rng.
func New(rng *rand.Rand) *Node {
	n := &Node{self: rng.Uint64() | 1, rng: rng}
	n.maxReadAge = n.drawAge()
	return n
}

// Behind reports whether a newer value than that in force is known to exist, or none
// is in force.
func (n *Node) Behind() bool { return n.revision == 0 || n.newestKnown > n.revision }

// IsWatcher reports whether this process watches the store for all.
func (n *Node) IsWatcher() bool { return n.watcher }

// ReadAt returns when the store was last read by any process, as far as known.
func (n *Node) ReadAt() time.Time { return n.read.At }

// Applied notes that a value was put in force.
func (n *Node) Applied(now time.Time, revision uint64) {
	if revision <= n.revision {
		return
	}
	n.revision = revision
	n.newestKnown = max(n.newestKnown, revision)
	n.sources = n.sources[:0]
	n.digestDue = true
	n.repeatsLeft, n.repeatAt = repeats, now.Add(repeatAfter)
}

// ContentApplied notes the number of the content in force. It may rise under the same
// revision, by what another process has.
func (n *Node) ContentApplied(now time.Time, content uint64) {
	if content <= n.content {
		return
	}
	n.content = content
	n.sources = n.sources[:0]
	n.digestDue = true
	n.repeatsLeft, n.repeatAt = repeats, now.Add(repeatAfter)
}

// Receive takes the digest of another process. answer is to be sent back if ok is true: the
// other process knows less than this one.
func (n *Node) Receive(now time.Time, from netip.AddrPort, d Digest) (answer Digest, ok bool) {
	n.ObserveRevision(now, d.Revision)
	missed := d.Revision == n.newestKnown && d.Revision > n.revision || d.Content > n.content
	if missed && len(n.sources) < maxSources {
		n.sources = append(n.sources, from)
	}
	n.receiveRead(now, d.Read)
	return n.digest(), n.read.Number > d.Read.Number || n.revision > d.Revision || n.content > d.Content
}

// ObserveRevision notes that a revision exists. Whoever named it need not have the value.
func (n *Node) ObserveRevision(now time.Time, revision uint64) {
	if revision <= n.newestKnown || revision <= n.rejected && now.Sub(n.rejectedAt) < rejectedFor {
		return
	}
	if n.newestKnown <= n.revision {
		n.behindSince = now
		n.readAfter = storeAfter + below(n.rng, storeSpan)
	}
	n.newestKnown, n.newestKnownAt = revision, now
	n.sources = n.sources[:0]
}

// receiveRead takes a read. It is sent on if it is later than the latest one known, or has
// the same number and was made by a watcher with a lower identity: the other watcher has to
// receive it to stop.
//
// A watcher stops when it receives such a read of another one. Reads are ordered, so of two
// watchers one always receives the other's and goes on alone; by their identities alone the
// one that has to stop may never receive a read that it takes.
func (n *Node) receiveRead(now time.Time, r ReadMark) {
	if r.Number > maxNumber {
		return
	}
	later := r.Number > n.read.Number
	hasPriority := r.Number == n.read.Number && r.Reader != 0 && (n.read.Reader == 0 || r.Reader < n.read.Reader)
	if !later && !hasPriority {
		return
	}
	if n.watcher && r.Reader != 0 && r.Reader != n.self {
		n.watcher = false
	}
	n.digestDue = true
	n.watched = n.watched || r.Reader != 0
	n.read.Reader = r.Reader
	if later {
		n.read = r
		n.askedAt = time.Time{}
		n.maxReadAge = n.drawAge()
	}
}

// drawAge draws the age of the latest read at which this process reads.
func (n *Node) drawAge() time.Duration {
	if !n.watched {
		return startMinAge + below(n.rng, startMaxAge-startMinAge)
	}
	return MinReadAge + below(n.rng, MaxReadAge-MinReadAge)
}

// leastAge returns the least such age.
func (n *Node) leastAge() time.Duration {
	if !n.watched {
		return startMinAge
	}
	return MinReadAge
}

// StoreCall returns the call of the store that is due.
func (n *Node) StoreCall(now time.Time) Call {
	switch {
	case n.calling || now.Before(n.callAt):
		return None
	case n.revision == 0 || n.reread:
		return Read
	case n.newestKnown > n.revision && !n.receiving && now.Sub(n.behindSince) >= n.readAfter:
		return Read
	case n.lost(), n.watcher && now.Sub(n.ownAt) >= checkEvery:
		return Read
	case n.watcher && !now.Before(n.watchAt):
		return Watch
	case n.overdue(now) && !n.askedAt.IsZero() && now.Sub(n.askedAt) >= answerWait:
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
// store since. One that watched for all then goes on trying: the others read MinAge after the
// last read at the earliest, and a store that was away for a moment has lost its watchers,
// and may have lost what was written.
func (n *Node) lost() bool { return !n.lostAt.IsZero() && n.read.At.Before(n.lostAt) }

// overdue reports whether the latest read known is so old that this process reads.
func (n *Node) overdue(now time.Time) bool {
	return now.Sub(n.read.At) >= n.maxReadAge && now.Sub(n.ownAt) >= n.leastAge()
}

// CallStarted notes that a call of the store begins.
func (n *Node) CallStarted(now time.Time, c Call) {
	n.calling = true
	n.number = n.read.Number + 1
	n.watcher = n.watcher || c == Read && n.revision != 0 && (n.lost() || n.overdue(now))
}

// CallDone takes the end of a call. What it brought was handed to Applied before.
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
}

// watchRefused has watches that fail in a row begin no more often than those that see no
// change. One may have been cut by chance; a store that serves reads and refuses every
// watch would be called without a pause.
func (n *Node) watchRefused(begun time.Time) {
	if n.refused {
		n.watchAt = begun.Add(WatchTimeout)
	}
	n.refused = true
}

func (n *Node) answered(now time.Time, c Call, begun time.Time) {
	n.failures = 0
	n.refused = n.refused && c != Watch
	at := begun
	if took := now.Sub(begun); took <= WatchTimeout+answerTime {
		at = maxTime(begun, now.Add(-answerTime))
	}
	if c == Read {
		at = begun
		n.ownAt = begun
		n.lostAt = time.Time{}
		n.reject(now, begun)
	}
	n.receiveRead(now, ReadMark{Number: n.number, At: at, Reader: n.reader()})
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// reader returns the identity in the marks of this process's reads: 0 if it does not watch,
// so that no watcher stops for a single read.
func (n *Node) reader() uint64 {
	if n.watcher {
		return n.self
	}
	return 0
}

// reject gives up a revision that was named before a read began that did not find it.
func (n *Node) reject(now, begun time.Time) {
	if n.newestKnown > n.revision && n.newestKnownAt.Before(begun) {
		n.rejected, n.rejectedAt = n.newestKnown, now
		n.newestKnown = n.revision
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
	d := min(failBase<<min(max(n.failures-failBefore, 0), 10), longest)
	n.failures++
	return d/2 + below(n.rng, d/2)
}

// Fetch returns the process to ask for a missing value: one that announced it, or the zero
// value for any few of them. ok is false if there is nothing to ask for.
func (n *Node) Fetch(now time.Time) (from netip.AddrPort, ok bool) {
	if n.fetching {
		return netip.AddrPort{}, false
	}
	if len(n.sources) > 0 {
		return n.sources[0], true
	}
	if !n.Behind() {
		return netip.AddrPort{}, false
	}
	waited := n.revision == 0 || now.Sub(n.behindSince) >= sourceAfter
	return netip.AddrPort{}, waited && !now.Before(n.askAt)
}

// FetchStarted notes that the value is being taken from others.
func (n *Node) FetchStarted(now time.Time) {
	n.fetching = true
	n.asked = netip.AddrPort{}
	if len(n.sources) == 0 {
		n.askAt = now.Add(askEvery)
		return
	}
	n.asked = n.sources[0]
}

// FetchReceiving notes that a process has begun to send the value. The store is not read
// meanwhile for want of it: both answers would share the link, and arrive later.
func (n *Node) FetchReceiving() { n.receiving = true }

// FetchDone takes the end of it. What it brought was handed to Applied before.
func (n *Node) FetchDone() {
	n.fetching, n.receiving = false, false
	if len(n.sources) > 0 && n.sources[0] == n.asked {
		n.sources = n.sources[1:]
	}
}

// NextDigest returns the digest that is to be sent to Fanout others now; ok is false if none
// is. A process whose latest read is overdue sends one as well: those who know of a later
// read answer.
func (n *Node) NextDigest(now time.Time) (d Digest, ok bool) {
	if n.revision != 0 && !n.watcher && n.overdue(now) && n.askedAt.IsZero() {
		n.askedAt = now
		n.digestDue = true
	}
	if n.repeatsLeft > 0 && !now.Before(n.repeatAt) {
		n.repeatsLeft--
		n.repeatAt = now.Add(repeatAfter)
		n.digestDue = true
	}
	ok = n.digestDue
	n.digestDue = false
	return n.digest(), ok
}

func (n *Node) digest() Digest {
	return Digest{Revision: n.revision, Content: n.content, Read: n.read}
}

// below draws a time below d.
func below(rng *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(rng.Int64N(int64(d)))
}
