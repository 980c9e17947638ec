package flow

import (
	"maps"
	"slices"
	"time"
)

// Orders is what the operator has ordered, as it was at one moment. It is immutable.
type Orders struct {
	Number    uint64              // a higher one is newer
	Routes    *Routes             // nil: those in force stay
	Evacuated map[uint32]struct{} // availability zones that get no new flows, by ZoneID
}

// NewOrders returns orders under which the named availability zones get no new flows.
func NewOrders(number uint64, routes *Routes, evacuated []string) *Orders {
	o := &Orders{Number: number, Routes: routes, Evacuated: make(map[uint32]struct{}, len(evacuated))}
	for _, zone := range evacuated {
		o.Evacuated[ZoneID(zone)] = struct{}{}
	}
	return o
}

// ZoneOrder is what a balancer tells an agent of its availability zone.
type ZoneOrder uint8

// The orders.
const (
	ZoneUnknown   ZoneOrder = iota // the sender does not know the agent's zone, or no orders
	ZoneInService                  // takes new flows
	ZoneEvacuated                  // gets no new flows until the operator gives it back
	// ZoneUnconfirmed gets no new flows either: it was evacuated before the store came back
	// from an older copy, and the operator may not have written that again yet.
	ZoneUnconfirmed

	lastZoneOrder = ZoneUnconfirmed
)

// excludesNewFlows reports whether the zone gets no new flows.
func (o ZoneOrder) excludesNewFlows() bool { return o == ZoneEvacuated || o == ZoneUnconfirmed }

// Valid reports whether o is one of the orders.
func (o ZoneOrder) Valid() bool { return o <= lastZoneOrder }

// SetOrders puts orders in force. Older ones than those in force are refused: what a
// backend server has seen the effect of is never undone. Under the same number only newer
// routes are taken, which another process kept when the store lost them.
//
// An evacuation that every balancer alone kept would be broken by each that is behind;
// so balancers leave a zone out to waste no offer, and tell its agents, which refuse
// whoever offers.
func (d *Director) SetOrders(now time.Time, o *Orders) bool {
	before := d.orders
	if o.Number < before.Number || o.Number == before.Number && !o.Routes.newerThan(before.Routes) {
		return false
	}
	if o.Routes == nil || before.Routes.newerThan(o.Routes) {
		o = &Orders{Number: o.Number, Routes: before.Routes, Evacuated: o.Evacuated}
	}
	d.orders = o
	d.newestOrders = max(d.newestOrders, o.Number)
	d.lacking.update(now, before, o)
	for _, a := range d.agents {
		d.learnLacking(now, a)
	}
	d.greetChanged(now, before)
	if !maps.Equal(before.Evacuated, o.Evacuated) {
		d.retableAll()
	}
	return true
}

// Orders returns the orders in force, with number 0 for none.
func (d *Director) Orders() *Orders { return d.orders }

// SetRoutes puts a configuration in force, with no zone evacuated. Its revision numbers
// the orders.
func (d *Director) SetRoutes(r *Routes) bool {
	return d.SetOrders(d.now, &Orders{Number: r.Revision, Routes: r})
}

// greetChanged has the agents of the balancer's own zone greeted at once whose order has
// changed, or who act on another: they tell every balancer of their new state. One that
// waited for its next greeting would get no flows for up to four seconds after its zone
// was given back.
func (d *Director) greetChanged(now time.Time, before *Orders) {
	for _, a := range d.agents {
		order := d.zoneOrder(a.zone)
		if a.local && (order != before.zoneOrder(a.zone) || order == ZoneInService && a.state == ServerEvacuated) {
			a.helloAt = now
		}
	}
}

// retableAll builds the tables of all services.
func (d *Director) retableAll() {
	services := map[ServiceID]struct{}{}
	for _, a := range d.agents {
		services[a.service] = struct{}{}
	}
	for id := range services {
		d.retable(id)
	}
}

// zoneOrder returns the order for an availability zone; 0 is one that is not known.
func (o *Orders) zoneOrder(zone uint32) ZoneOrder {
	_, evacuated := o.Evacuated[zone]
	switch {
	case o.Number == 0 || zone == 0 && len(o.Evacuated) > 0:
		return ZoneUnknown
	case evacuated:
		return ZoneEvacuated
	}
	return ZoneInService
}

// zoneOrder returns the order for an availability zone as this balancer tells it.
func (d *Director) zoneOrder(zone uint32) ZoneOrder {
	order := d.orders.zoneOrder(zone)
	if order == ZoneInService && d.lacking.has(zone) {
		return ZoneUnconfirmed
	}
	return order
}

// coldRate returns what a cold server of the service bears.
func (o *Orders) coldRate(service ServiceID) ColdRate {
	if o.Routes == nil {
		return 0
	}
	return o.Routes.ColdRates[service]
}

// inService reports whether an agent's zone may get new flows as far as this balancer
// knows. While some zone is evacuated an agent of unknown zone may not: it says its
// zone with its first report.
func (d *Director) inService(a *agent) bool {
	return d.allInService() || d.zoneOrder(a.zone) == ZoneInService
}

// allInService reports whether no availability zone is evacuated.
func (d *Director) allInService() bool { return len(d.orders.Evacuated) == 0 && d.lacking.none() }

// evacuated reports whether all agents of a service that are known are in evacuated
// zones. Its callers are refused at once: waiting serves them nothing.
func (d *Director) evacuated(id ServiceID) bool {
	if d.allInService() {
		return false
	}
	known := false
	for _, a := range d.agents {
		if a.service != id || a.gone() {
			continue
		}
		if !d.zoneOrder(a.zone).excludesNewFlows() {
			return false
		}
		known = true
	}
	return known
}

// evacuatedZones returns the availability zones that get no new flows, in order.
func (d *Director) evacuatedZones() []uint32 {
	return slices.Sorted(maps.Keys(d.orders.Evacuated))
}

// receivedOrders is what an agent knows of the operator's orders.
type receivedOrders struct {
	number   uint64 // of the orders; 0: none told yet
	zone     ZoneOrder
	service  ServiceID // that the rate below is of
	coldRate ColdRate
}

// receiveOrders takes what a balancer tells of the operator's orders. Balancers learn them
// unevenly: of all that were told the one with the highest number counts.
func (g *Gate) receiveOrders(now time.Time, m *Message) {
	if m.ZoneOrder == ZoneUnknown || m.Revision < g.orders.number {
		return
	}
	if g.mayLack(now, m.ZoneOrder) {
		return
	}
	known := m.Service == g.orders.service || m.Service != g.server.service
	if m.Revision == g.orders.number && known && !g.overrules(now, m.ZoneOrder) {
		return
	}
	before := g.State(now)
	if g.evacuated() && m.ZoneOrder == ZoneInService {
		g.server.coldUnknown = true // it had nothing to do, and may be cold by now
	}
	g.orders = receivedOrders{number: m.Revision, zone: m.ZoneOrder, service: m.Service, coldRate: m.ColdRate}
	if g.State(now) == before {
		return
	}
	g.stateChanged(now, before, "operator's order")
	g.dequeue(now)
}

// evacuated reports whether the agent's zone gets no new flows.
func (g *Gate) evacuated() bool { return g.orders.zone.excludesNewFlows() }
