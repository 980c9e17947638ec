package lab

import (
	"time"

	"github.com/hemlockscale/hemlockscale/admission"
)

// refusal is the refusal of a request.
type refusal struct {
	id    uint64
	after time.Duration // retry time
}

// policy decides which requests start. Its methods return the requests to start
// and to refuse.
type policy interface {
	offer(now time.Time, r admission.Request) (start []uint64, refuse []refusal)
	done(now time.Time, id uint64, r admission.Result) (start []uint64, refuse []refusal)
	cancel(now time.Time, id uint64)
	tick(now time.Time) (start []uint64, refuse []refusal)
}

// controllerPolicy is the policy of admission.Controller.
type controllerPolicy struct{ c *admission.Controller }

func (p controllerPolicy) effects() (start []uint64, refuse []refusal) {
	for _, e := range p.c.Effects(nil) {
		if e.Kind == admission.Start {
			start = append(start, e.ID)
		} else {
			refuse = append(refuse, refusal{e.ID, e.Refusal.RetryAfter})
		}
	}
	return start, refuse
}

func (p controllerPolicy) offer(now time.Time, r admission.Request) ([]uint64, []refusal) {
	d := p.c.Offer(now, r)
	start, refuse := p.effects()
	switch d.Verdict {
	case admission.Admitted:
		start = append(start, r.ID)
	case admission.Refused:
		refuse = append(refuse, refusal{r.ID, d.Refusal.RetryAfter})
	}
	return start, refuse
}

func (p controllerPolicy) done(now time.Time, id uint64, r admission.Result) ([]uint64, []refusal) {
	p.c.Done(now, id, r)
	return p.effects()
}

func (p controllerPolicy) cancel(now time.Time, id uint64) { p.c.Cancel(now, id) }

func (p controllerPolicy) tick(now time.Time) ([]uint64, []refusal) {
	p.c.Tick(now)
	return p.effects()
}

// fifo starts up to slots requests in order of arrival and queues up to bound; a
// bound of 0 is no limit. The retry time of a refusal is one second.
type fifo struct {
	slots, bound, running int
	queue                 []uint64
	cancelled             map[uint64]bool
}

// fill starts queued requests while slots are free.
func (p *fifo) fill() (start []uint64) {
	for p.running < p.slots && len(p.queue) > 0 {
		id := p.queue[0]
		p.queue = p.queue[1:]
		if p.cancelled[id] {
			delete(p.cancelled, id)
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

func (p *fifo) cancel(_ time.Time, id uint64) { p.cancelled[id] = true }

func (p *fifo) tick(time.Time) ([]uint64, []refusal) { return nil, nil }
