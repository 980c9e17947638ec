package lab

import (
	"time"

	"github.com/hemlockscale/hemlockscale/admission"
)

// refusal tells the caller of a request when to come back.
type refusal struct {
	id    uint64
	after time.Duration
}

// policy decides what starts. Each method returns what became of requests.
type policy interface {
	offer(now time.Time, r admission.Request) (start []uint64, refuse []refusal)
	done(now time.Time, id uint64, r admission.Result) (start []uint64, refuse []refusal)
	cancel(now time.Time, id uint64)
	tick(now time.Time) (start []uint64, refuse []refusal)
}

// ours is the Controller.
type ours struct{ c *admission.Controller }

func (p ours) drain() (start []uint64, refuse []refusal) {
	for _, e := range p.c.Effects(nil) {
		if e.Kind == admission.Start {
			start = append(start, e.ID)
		} else {
			refuse = append(refuse, refusal{e.ID, e.Refusal.RetryAfter})
		}
	}
	return start, refuse
}

func (p ours) offer(now time.Time, r admission.Request) ([]uint64, []refusal) {
	d := p.c.Offer(now, r)
	start, refuse := p.drain()
	switch d.Verdict {
	case admission.Admitted:
		start = append(start, r.ID)
	case admission.Refused:
		refuse = append(refuse, refusal{r.ID, d.Refusal.RetryAfter})
	}
	return start, refuse
}

func (p ours) done(now time.Time, id uint64, r admission.Result) ([]uint64, []refusal) {
	p.c.Done(now, id, r)
	return p.drain()
}

func (p ours) cancel(now time.Time, id uint64) { p.c.Cancel(now, id) }

func (p ours) tick(now time.Time) ([]uint64, []refusal) {
	p.c.Tick(now)
	return p.drain()
}

// fifo starts up to slots requests in order and lets up to bound wait; 0 is no
// bound. A refused caller is told to come back in a second.
type fifo struct {
	slots, bound, running int
	queue                 []uint64
	gone                  map[uint64]bool
}

func (p *fifo) fill() (start []uint64) {
	for p.running < p.slots && len(p.queue) > 0 {
		id := p.queue[0]
		p.queue = p.queue[1:]
		if p.gone[id] {
			delete(p.gone, id)
			continue
		}
		p.running++
		start = append(start, id)
	}
	return start
}

func (p *fifo) offer(_ time.Time, r admission.Request) ([]uint64, []refusal) {
	if p.bound > 0 && len(p.queue) >= p.bound {
		return nil, []refusal{{r.ID, time.Second}}
	}
	p.queue = append(p.queue, r.ID)
	return p.fill(), nil
}

func (p *fifo) done(time.Time, uint64, admission.Result) ([]uint64, []refusal) {
	p.running--
	return p.fill(), nil
}

func (p *fifo) cancel(_ time.Time, id uint64) { p.gone[id] = true }

func (p *fifo) tick(time.Time) ([]uint64, []refusal) { return nil, nil }
