package admission

import "time"

// trackedState is the state of a request.
type trackedState uint8

const (
	queued  trackedState = iota
	running              // holds a slot
	opened               // a long flow whose header has arrived; holds no slot
)

// trackedRequest is a request that is waiting or in progress. Waiting requests
// form a list.
type trackedRequest struct {
	req        Request
	owner      *owner
	long       bool
	state      trackedState
	started    time.Time
	charged    time.Duration // slot time charged to the owner at the start
	prev, next *trackedRequest
}

// queue is a linked list of waiting requests in order of arrival.
type queue struct {
	head, tail *trackedRequest
	n          int
}

func (q *queue) push(f *trackedRequest) {
	f.prev, f.next = q.tail, nil
	if q.tail == nil {
		q.head = f
	} else {
		q.tail.next = f
	}
	q.tail = f
	q.n++
}

func (q *queue) remove(f *trackedRequest) {
	if f.prev == nil {
		q.head = f.next
	} else {
		f.prev.next = f.next
	}
	if f.next == nil {
		q.tail = f.prev
	} else {
		f.next.prev = f.prev
	}
	f.prev, f.next = nil, nil
	q.n--
}

// owner is the state of one owner of requests.
type owner struct {
	name      string
	limits    OwnerLimits
	waiting   [2]queue // short, long
	slots     int      // slots in use
	long      int      // long flows admitted and not done
	conns     int      // open connections
	bucket    bucket
	idleSince time.Time // time from which the owner has had no requests or connections; zero while it has some
}

// classIndex returns the index of owner.waiting and Controller.service: 0 for
// short requests, 1 for long flows.
func classIndex(long bool) int {
	if long {
		return 1
	}
	return 0
}

// queued returns the number of the owner's waiting requests.
func (o *owner) queued() int { return o.waiting[0].n + o.waiting[1].n }

// bucket is a token bucket that holds the tokens of at most one second.
type bucket struct {
	tokens float64
	last   time.Time
}

// take removes a token and returns 0, or returns the time until the next token
// if there is none. rate is in tokens per second; 0 is no limit.
func (b *bucket) take(now time.Time, rate int) time.Duration {
	if rate <= 0 {
		return 0
	}
	full := float64(rate)
	if b.last.IsZero() {
		b.tokens = full
	} else if d := now.Sub(b.last); d > 0 {
		b.tokens = min(full, b.tokens+d.Seconds()*full)
	}
	b.last = now
	if b.tokens < 1 {
		return time.Duration((1 - b.tokens) / full * float64(time.Second))
	}
	b.tokens--
	return 0
}
