package propagation

import (
	"math/rand/v2"
	"net/netip"
	"time"
)

const (
	// WatchTimeout is how long a watch waits for a change. A watch that ends without a
	// change confirms the value like a read, so the whole fleet makes one watch call of the
	// store per WatchTimeout, plus the reads of checkEvery.
	WatchTimeout = 1200 * time.Millisecond
	// MinReadAge is the least age of the latest read at which another process reads. It
	// exceeds WatchTimeout by the time in which the digest of the answer spreads.
	MinReadAge = 1500 * time.Millisecond
	// MaxReadAge is the greatest such age. Together with the time in which a value reaches
	// all processes it stays below 3 s, in which a change has to be in force.
	MaxReadAge = 2400 * time.Millisecond
	// checkEvery is the time after which a watcher reads the key in addition to its
	// watches: in a store that drops its history, a watch may miss a change without an error.
	checkEvery = 2 * WatchTimeout
	// startMinReadAge and startMaxReadAge replace MinReadAge and MaxReadAge while no process is
	// known to have watched: after a start of the whole fleet there is no watcher, and changes
	// in the store go unnoticed until a process reads it.
	startMinReadAge = 150 * time.Millisecond
	startMaxReadAge = 600 * time.Millisecond
	// absentReadInterval is the time between two reads by the watcher while the store has no
	// value.
	absentReadInterval = 400 * time.Millisecond
	// responseDelay is the assumed age of a watch's answer at its arrival.
	responseDelay = 50 * time.Millisecond
	// Fanout is the number of processes that a digest is sent to. A few processes receive
	// none of the copies; they receive the digest of the next read.
	Fanout = 3
	// repeats is how often the digest of a new value is sent again, each time to other
	// processes, and repeatAfter the time between. Processes that received no copy of the
	// first one would otherwise wait for the next read.
	repeats     = 2
	repeatAfter = 100 * time.Millisecond
	// maxReadNumber bounds the read numbers that are accepted. No fleet makes as many reads;
	// a damaged message may contain a larger number.
	maxReadNumber = 1 << 48
	// digestAnswerWait is how long a process whose latest read is overdue waits for the
	// digests of others before it reads.
	digestAnswerWait = 60 * time.Millisecond
	// sourceWait is how long a process waits for the digest of a process that has the new
	// value before it asks any others.
	sourceWait = 50 * time.Millisecond
	// peerQueryInterval is the time between two queries to processes that have not
	// announced the value.
	peerQueryInterval = 300 * time.Millisecond
	// storeReadAfter and storeReadSpread bound the time after which a value that no process
	// sends is read from the store. The reads are spread, so that most processes get the
	// value from the first process that has read it.
	storeReadAfter  = 400 * time.Millisecond
	storeReadSpread = 400 * time.Millisecond
	// backoffBase and backoffMax bound the time between retries of failed calls of the store;
	// startBackoffMax is the limit for a process that has no value yet and so can't serve. The
	// backoff does not grow for the first failuresBeforeBackoff retries: most outages are that
	// short, and writes lost in an outage must be detected soon.
	failuresBeforeBackoff = 2
	backoffBase           = 150 * time.Millisecond
	backoffMax            = 1800 * time.Millisecond
	startBackoffMax       = 900 * time.Millisecond
	// rejectedFor is how long a revision that the store does not have is ignored. It comes
	// from a foreign or damaged message, and every process would read the store for it.
	rejectedFor = 5 * time.Second
	// maxSources bounds the processes remembered as having the missing value.
	maxSources = 3
)

// PeerQueryTimeout is how long a process that starts asks others before it puts in force the
// value of a store that was restored from an older copy, since others may have a newer one.
// It exceeds two round trips to the farthest process and one to the store.
const PeerQueryTimeout = 250 * time.Millisecond

// Call is a kind of call to the store.
type Call uint8

// The kinds of calls.
const (
	None  Call = iota
	Read       // read the key's value
	Watch      // wait for the next change, for at most WatchTimeout
)

// Outcome is the outcome of a call.
type Outcome uint8

// The outcomes of a call.
const (
	Answered    Outcome = iota
	Failed              // no answer, or the store refused the call
	HistoryLost         // the store no longer has the history since the Watch's revision
	Absent              // the store has no value
)

// Digest is the message between processes: the value that the sender has, and the latest
// read of the store that it knows of.
type Digest struct {
	Revision uint64 // of the value in force at the sender; 0 if none
	// Content is the number that the writer gave to the content in force at the sender, 0 if
	// it is not numbered. It distinguishes two contents with the same revision: a store that
	// was restored from an older copy lacks content that some processes still have.
	Content uint64
	Read    ReadMark
}

// ReadMark identifies a read of the store.
type ReadMark struct {
	// Number is one more than that of the latest read known to the process that made this
	// read; 0 means no read. Only a higher number is a later read. Reads can't be ordered by
	// age: ages lack the time in transit, so a read that is passed on repeatedly seems recent.
	Number uint64
	At     time.Time // when it was made; approximate, since ages lack the time in transit
	Reader uint64    // identity of the watcher that made it; 0 if the process was no watcher
}

// Node is the state machine of one process. Create it with New.
type Node struct {
	identity uint64
	rng      *rand.Rand

	revision         uint64 // in force
	newestKnown      uint64 // newest revision in any digest or message
	newestKnownAt    time.Time
	behindSince      time.Time        // since when a value newer than that in force is known to exist
	content          uint64           // number of the content in force
	sources          []netip.AddrPort // processes that have the missing value
	fetchSource      netip.AddrPort   // the source that is being asked
	readAfter        time.Duration    // from behindSince until the store is read
	rejectedRevision uint64           // revision that the store did not have
	rejectedAt       time.Time
	fetching         bool
	receiving        bool      // a process is sending the missing value
	peerQueryAt      time.Time // when processes that have not announced the value may be asked

	read            ReadMark      // the latest read known
	maxReadAge      time.Duration // age of the latest read at which this process reads
	watchKnown      bool          // a process is known to have watched
	callNumber      uint64        // read number of the pending call
	ownReadAt       time.Time     // start of this process's latest successful read
	failedSince     time.Time     // start of the first failed read since the last successful one; zero if none
	overdueDigestAt time.Time     // when a digest was last sent to learn of a later read; zero: not since the latest read

	watcher         bool
	callPending     bool
	nextCallAt      time.Time // no call before this time
	readNext        bool      // the next call is a Read
	lastWatchFailed bool      // the last watch ended without an answer
	nextWatchAt     time.Time // no watch before this time
	failures        int

	digestDue   bool
	repeatsLeft int // how often the digest of the value in force is sent again
	repeatAt    time.Time
}

// New returns the Node of a process that has no value and knows of no read. Its identity
// among the watchers is drawn from rng, which it also uses later.
func New(rng *rand.Rand) *Node {
	n := &Node{identity: rng.Uint64() | 1, rng: rng}
	n.maxReadAge = n.drawReadAge()
	return n
}

// Behind reports whether a value newer than that in force is known to exist, or no value
// is in force.
func (n *Node) Behind() bool { return n.revision == 0 || n.newestKnown > n.revision }

// knownAbsent reports whether a process has read the store and found no value, and none is
// known to exist since. One process at a time then goes on reading.
func (n *Node) knownAbsent() bool {
	return n.revision == 0 && n.newestKnown == 0 && n.read.Number > 0
}

// IsWatcher reports whether this process watches the store for all processes.
func (n *Node) IsWatcher() bool { return n.watcher }

// ReadAt returns when any process last read the store, as far as known.
func (n *Node) ReadAt() time.Time { return n.read.At }

// Applied records that a value was put in force.
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

// ContentApplied records the number of the content in force. It may rise under the same
// revision if another process had newer content.
func (n *Node) ContentApplied(now time.Time, content uint64) {
	if content <= n.content {
		return
	}
	n.content = content
	n.sources = n.sources[:0]
	n.digestDue = true
	n.repeatsLeft, n.repeatAt = repeats, now.Add(repeatAfter)
}

// Receive processes the digest of another process. If ok is true, answer is to be sent to
// that process, which has an older value or knows of an earlier read only.
func (n *Node) Receive(now time.Time, from netip.AddrPort, d Digest) (answer Digest, ok bool) {
	n.ObserveRevision(now, d.Revision)
	missed := d.Revision == n.newestKnown && d.Revision > n.revision || d.Content > n.content
	if missed && len(n.sources) < maxSources {
		n.sources = append(n.sources, from)
	}
	n.receiveRead(now, d.Read)
	return n.digest(), n.read.Number > d.Read.Number || n.revision > d.Revision || n.content > d.Content
}

// ObserveRevision records that a revision exists. Its sender need not have the value.
func (n *Node) ObserveRevision(now time.Time, revision uint64) {
	if revision <= n.newestKnown || revision <= n.rejectedRevision && now.Sub(n.rejectedAt) < rejectedFor {
		return
	}
	if n.newestKnown <= n.revision {
		n.behindSince = now
		n.readAfter = storeReadAfter + randomBelow(n.rng, storeReadSpread)
	}
	n.newestKnown, n.newestKnownAt = revision, now
	n.sources = n.sources[:0]
}

// receiveRead records a read. The read is passed on if it is later than the latest one
// known, or has the same number and was made by a watcher with a lower identity: the other
// watcher has to receive it to stop.
//
// A watcher stops when it accepts another watcher's read: one with a higher number, or with
// the same number and a lower identity. Since reads are ordered, one of two watchers always
// accepts the other's read and stops, and the other goes on alone. If the identities alone
// decided, the watcher with the higher one might never receive a read of the other.
func (n *Node) receiveRead(now time.Time, r ReadMark) {
	if r.Number > maxReadNumber {
		return
	}
	later := r.Number > n.read.Number
	hasPriority := r.Number == n.read.Number && r.Reader != 0 && (n.read.Reader == 0 || r.Reader < n.read.Reader)
	if !later && !hasPriority {
		return
	}
	if n.watcher && r.Reader != 0 && r.Reader != n.identity {
		n.watcher = false
	}
	n.digestDue = true
	n.watchKnown = n.watchKnown || r.Reader != 0
	n.read.Reader = r.Reader
	if later {
		n.read = r
		n.overdueDigestAt = time.Time{}
		n.maxReadAge = n.drawReadAge()
	}
}

// drawReadAge draws the age of the latest read at which this process reads.
func (n *Node) drawReadAge() time.Duration {
	if !n.watchKnown {
		return startMinReadAge + randomBelow(n.rng, startMaxReadAge-startMinReadAge)
	}
	return MinReadAge + randomBelow(n.rng, MaxReadAge-MinReadAge)
}

// minReadAge returns the lower bound of drawReadAge.
func (n *Node) minReadAge() time.Duration {
	if !n.watchKnown {
		return startMinReadAge
	}
	return MinReadAge
}

// StoreCall returns the call of the store that is due, or None.
func (n *Node) StoreCall(now time.Time) Call {
	switch {
	case n.callPending || now.Before(n.nextCallAt):
		return None
	case n.revision == 0 && n.read.Number == 0 || n.readNext:
		return Read
	case n.newestKnown > n.revision && !n.receiving && now.Sub(n.behindSince) >= n.readAfter:
		return Read
	case n.readFailed(), n.watcher && now.Sub(n.ownReadAt) >= n.readInterval():
		return Read
	case n.watcher && !n.knownAbsent() && !now.Before(n.nextWatchAt):
		return Watch
	case n.overdue(now) && !n.overdueDigestAt.IsZero() && now.Sub(n.overdueDigestAt) >= digestAnswerWait:
		return Read
	}
	return None
}

// readInterval is the time between two reads of a watcher.
func (n *Node) readInterval() time.Duration {
	if n.knownAbsent() {
		return absentReadInterval
	}
	return checkEvery
}

// Due reports whether a call of the store or a query to other processes is due.
func (n *Node) Due(now time.Time) bool {
	_, fetch := n.Fetch(now)
	return fetch || n.StoreCall(now) != None
}

// readFailed reports whether the last read of this process failed and no process has read
// the store since. A former watcher then retries, although the others read MinReadAge after
// the last read at the earliest: a store that was unreachable for a moment has lost its
// watchers, and may have lost writes.
func (n *Node) readFailed() bool { return !n.failedSince.IsZero() && n.read.At.Before(n.failedSince) }

// overdue reports whether the latest read known is so old that this process reads, and
// its own latest read is at least minReadAge old.
func (n *Node) overdue(now time.Time) bool {
	return now.Sub(n.read.At) >= n.maxReadAge && now.Sub(n.ownReadAt) >= n.minReadAge()
}

// CallStarted records that a call of the store has started.
func (n *Node) CallStarted(now time.Time, c Call) {
	n.callPending = true
	n.callNumber = n.read.Number + 1
	n.watcher = n.watcher || c == Read && (n.revision != 0 || n.knownAbsent()) && (n.readFailed() || n.overdue(now))
}

// CallDone records the end of a call that started at startedAt. If the call returned a
// value, Applied must have been called before.
func (n *Node) CallDone(now time.Time, c Call, startedAt time.Time, o Outcome) {
	n.callPending = false
	n.readNext = c == Watch && o != Answered // a watch that was cut may have missed a change
	switch {
	case o == Answered, o == Absent && n.revision == 0:
		n.recordAnswer(now, c, startedAt)
	case c == Watch:
		n.recordWatchFailure(startedAt)
	case c == Read:
		if n.failedSince.IsZero() {
			n.failedSince = startedAt
		}
		n.watcher = false // another process that the store serves takes over
		n.nextCallAt = now.Add(n.backoff())
	}
}

// recordWatchFailure makes watches that fail in a row start at most once per WatchTimeout.
// The first failure may be a single cut connection and does not delay the next watch. A
// store that serves reads and refuses every watch would otherwise be called without a pause.
func (n *Node) recordWatchFailure(startedAt time.Time) {
	if n.lastWatchFailed {
		n.nextWatchAt = startedAt.Add(WatchTimeout)
	}
	n.lastWatchFailed = true
}

// recordAnswer records the read of the store that an answered call made: a Read at its
// start, a Watch responseDelay before its answer but not before its start. A Watch that took
// longer than WatchTimeout and responseDelay also counts from its start, because its answer
// has been delayed.
func (n *Node) recordAnswer(now time.Time, c Call, startedAt time.Time) {
	n.failures = 0
	n.lastWatchFailed = n.lastWatchFailed && c != Watch
	at := startedAt
	if took := now.Sub(startedAt); took <= WatchTimeout+responseDelay {
		at = maxTime(startedAt, now.Add(-responseDelay))
	}
	if c == Read {
		at = startedAt
		n.ownReadAt = startedAt
		n.failedSince = time.Time{}
		n.rejectMissing(now, startedAt)
	}
	n.receiveRead(now, ReadMark{Number: n.callNumber, At: at, Reader: n.reader()})
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// reader returns the identity in the marks of this process's reads. It is 0 if this process
// is no watcher, so that a single read stops no watcher.
func (n *Node) reader() uint64 {
	if n.watcher {
		return n.identity
	}
	return 0
}

// rejectMissing drops a revision that was received before a read began that did not find it.
func (n *Node) rejectMissing(now, readStartedAt time.Time) {
	if n.newestKnown > n.revision && n.newestKnownAt.Before(readStartedAt) {
		n.rejectedRevision, n.rejectedAt = n.newestKnown, now
		n.newestKnown = n.revision
		n.sources = n.sources[:0]
	}
}

// backoff counts a failure and returns the time before the store is called again: a random
// time between half and all of the backoff interval. The backoff also applies to refused
// calls, since the store charges for them like for others.
func (n *Node) backoff() time.Duration {
	longest := backoffMax
	if n.revision == 0 {
		longest = startBackoffMax
	}
	d := min(backoffBase<<min(max(n.failures-failuresBeforeBackoff, 0), 10), longest)
	n.failures++
	return d/2 + randomBelow(n.rng, d/2)
}

// Fetch returns the process to ask for a missing value: one that announced it, or the zero
// value for any few processes. ok is false if no query is due.
func (n *Node) Fetch(now time.Time) (from netip.AddrPort, ok bool) {
	if n.fetching {
		return netip.AddrPort{}, false
	}
	if len(n.sources) > 0 {
		return n.sources[0], true
	}
	if !n.Behind() || n.knownAbsent() {
		return netip.AddrPort{}, false
	}
	waited := n.revision == 0 || now.Sub(n.behindSince) >= sourceWait
	return netip.AddrPort{}, waited && !now.Before(n.peerQueryAt)
}

// FetchStarted records that the value is being fetched from other processes.
func (n *Node) FetchStarted(now time.Time) {
	n.fetching = true
	n.fetchSource = netip.AddrPort{}
	if len(n.sources) == 0 {
		n.peerQueryAt = now.Add(peerQueryInterval)
		return
	}
	n.fetchSource = n.sources[0]
}

// FetchReceiving records that a process has begun to send the value. The store is then not
// read for that value: both answers would share the link and arrive later.
func (n *Node) FetchReceiving() { n.receiving = true }

// FetchDone records the end of a fetch. If it returned a value, Applied must have been
// called before.
func (n *Node) FetchDone() {
	n.fetching, n.receiving = false, false
	if len(n.sources) > 0 && n.sources[0] == n.fetchSource {
		n.sources = n.sources[1:]
	}
}

// NextDigest returns the digest to send to Fanout other processes now; ok is false if none
// is due. A process whose latest read is overdue also sends one: processes that know of a
// later read answer it.
func (n *Node) NextDigest(now time.Time) (d Digest, ok bool) {
	if (n.revision != 0 || n.knownAbsent()) && !n.watcher && n.overdue(now) && n.overdueDigestAt.IsZero() {
		n.overdueDigestAt = now
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

// randomBelow returns a random duration in [0, d).
func randomBelow(rng *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(rng.Int64N(int64(d)))
}
