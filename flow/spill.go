package flow

import (
	"net/netip"
	"time"

	"github.com/hemlockscale/hemlockscale/placement"
)

// maxSpillServices bounds the other services of a split that are considered for one flow.
const maxSpillServices = 4

// spillOffer is the offer of a flow to an agent of another service of its split. The zero
// value means that there was none.
type spillOffer struct {
	agent   netip.AddrPort
	service ServiceID
	active  bool // the agent has not answered yet
}

// spill offers a flow that would have to wait, or be refused, to an agent of another service
// of its split that reports free slots, once per flow and without permission to wait. If that
// agent refuses it, the flow goes on at the service that the split chose. Agents of that
// service that report free slots come first. It returns false if the flow is to go on as
// without a split.
//
// The split is the one of the routes in force, so none is used that the operator has removed
// while the flow was being offered.
func (d *Director) spill(now time.Time, e *entry) bool {
	o := e.open
	if o.mayWait || o.spill.agent.IsValid() || d.orders.Routes == nil {
		return false
	}
	route, ok := d.orders.Routes.Lookup(o.key.ServiceAddr())
	if !ok || !route.splits(o.service) {
		return false
	}
	to, service, ok := d.chooseSpill(now, o, &route)
	if !ok {
		return false
	}
	if own, ok := d.pickFree(now, o, &route, o.service); ok && o.tries < maxOffers {
		d.offerTo(now, e, own.Addr)
		return true
	}
	o.spill = spillOffer{agent: to, service: service, active: true}
	e.agent = to
	d.startTimeout(&d.offerTimeouts, o, now.Add(d.cfg.OpenTimeout))
	m := route.offerMessage(service)
	m.OnTime, _ = route.waitLimits(o.copies)
	d.send(to, m, o.syn[:o.synLen])
	return true
}

// chooseSpill returns the least loaded agent with free slots of the other services of the
// split. Those after the flow's own service are considered first.
func (d *Director) chooseSpill(now time.Time, o *opening, route *Route) (to netip.AddrPort, service ServiceID, ok bool) {
	own := 0
	for i, s := range route.Split {
		if s.Service == o.service {
			own = i
		}
	}
	var best placement.Occupancy
	for i := 1; i < len(route.Split) && i <= maxSpillServices; i++ {
		s := route.Split[(own+i)%len(route.Split)]
		if s.Service == o.service || s.Weight <= 0 {
			continue
		}
		a, found := d.pickFree(now, o, route, s.Service)
		if found && (!ok || a.Occupancy < best) {
			to, service, ok, best = a.Addr, s.Service, true, a.Occupancy
		}
	}
	return to, service, ok
}

// pickFree returns the least loaded agent of a service that has not been tried and whose
// latest report, if it has not expired, shows free slots.
func (d *Director) pickFree(now time.Time, o *opening, route *Route, service ServiceID) (placement.Alternate, bool) {
	v := d.tables(service)
	if v == nil {
		return placement.Alternate{}, false
	}
	a, ok := v.ready.Pick(o.key.hash(), d.load, now, d.excludedFor(route, o.wasTried))
	return a, ok && a.Occupancy < placement.AllSlotsBusy
}

// splits reports whether the route splits its flows among a service and others.
func (r *Route) splits(service ServiceID) bool {
	for _, s := range r.Split {
		if s.Service == service && s.Weight > 0 {
			return len(r.Split) > 1
		}
	}
	return false
}

// copyService returns the service under which a copy of a flow's first packet is offered to
// the agent that holds the flow: the agent's own one if the route's split names it, since the
// flow may have been spilled. An agent of a service outside the route must not accept it.
func (r *Route) copyService(key Key, holder *agent) ServiceID {
	if r.splits(holder.service) {
		return holder.service
	}
	return r.ServiceFor(key)
}
