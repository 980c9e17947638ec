package admission

import "time"

// flightState is where a request stands.
type flightState uint8

const (
	waiting flightState = iota
	atWork              // holds a slot
	opened              // a long flow after its header; holds no slot
)

// flight is one request that isn't done. Waiting flights form a list.
type flight struct {
	req        Request
	owner      *owner
	long       bool
	state      flightState
	started    time.Time
	charged    time.Duration // slot time charged to the owner at the start
	prev, next *flight
}

// queue is a list of waiting flights in order of arrival.
type queue struct {
	head, tail *flight
	n          int
}

func (q *queue) push(f *flight) {
	f.prev, f.next = q.tail, nil
	if q.tail == nil {
		q.head = f
	} else {
		q.tail.next = f
	}
	q.tail = f
	q.n++
}

func (q *queue) remove(f *flight) {
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

// owner is what the controller keeps for one owner of requests.
type owner struct {
	name    string
	limits  OwnerLimits
	waiting [2]queue // short, long
	slots   int      // slots held
	long    int      // long flows admitted and not done
	conns   int      // open connections
	served  float64  // weighted slot time used, in seconds: start-time fair queueing's virtual time
	bucket  bucket
	idle    time.Time // since when nothing is open; zero while something is
}

func kind(long bool) int {
	if long {
		return 1
	}
	return 0
}

// queued counts the owner's waiting requests.
func (o *owner) queued() int { return o.waiting[0].n + o.waiting[1].n }

// weight is the owner's share against that of other owners.
func (o *owner) weight() float64 {
	if o.limits.Weight > 0 {
		return o.limits.Weight
	}
	return 1
}

// charge adds slot time d, which may be negative, to what o has used.
func (o *owner) charge(d time.Duration) {
	o.served += d.Seconds() / o.weight()
}

// bucket is a token bucket that holds at most one second's worth of tokens.
type bucket struct {
	tokens float64
	last   time.Time
}

// take removes a token. Without one it returns the time until there is one.
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
