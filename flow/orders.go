package flow

import (
	"maps"
	"slices"
	"time"
)

// Orders is what the operator has ordered, as of one moment. It is immutable.
type Orders struct {
	Number    uint64              // a higher one is newer
	Routes    *Routes             // nil: the routes in force stay
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

// ZoneOrder is the order for an agent's availability zone that a balancer sends to the
// agent.
type ZoneOrder uint8

// The orders.
const (
	ZoneUnknown   ZoneOrder = iota // the sender does not know the agent's zone, or has no orders
	ZoneInService                  // gets new flows
	ZoneEvacuated                  // gets no new flows until the operator puts it back into service
	// ZoneUnconfirmed gets no new flows either: it was evacuated before the store came
	// back from an older copy, and the operator may not have written the evacuation
	// again yet.
	ZoneUnconfirmed

	lastZoneOrder = ZoneUnconfirmed
)

// excludesNewFlows reports whether the zone gets no new flows.
func (o ZoneOrder) excludesNewFlows() bool { return o == ZoneEvacuated || o == ZoneUnconfirmed }

// Valid reports whether o is one of the orders.
func (o ZoneOrder) Valid() bool { return o <= lastZoneOrder }

// SetOrders puts orders in force and reports whether it did. Orders older than those in
// force are refused, because their effects at backend servers are never undone. Under
// the same number only newer routes are accepted, which another process kept when the
// store lost them.
//
// An evacuation enforced by balancers alone would be violated by each balancer that has
// older orders. So agents enforce it: balancers send them the order, and agents refuse
// offers from any balancer. Balancers exclude the zone only to save offers.
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
	d.unconfirmedZones.update(now, before, o)
	for _, a := range d.agents {
		d.recordUnconfirmedZone(now, a)
	}
	d.helloChangedAgents(before)
	if !maps.Equal(before.Evacuated, o.Evacuated) {
		d.allTablesChanged()
	}
	return true
}

// Orders returns the orders in force, with number 0 for none.
func (d *Director) Orders() *Orders { return d.orders }

// SetRoutes puts a configuration in force, with no zone evacuated. Its revision is the
// number of the orders.
func (d *Director) SetRoutes(r *Routes) bool {
	return d.SetOrders(d.now, &Orders{Number: r.Revision, Routes: r})
}

// helloChangedAgents requests an immediate hello to agents of the balancer's own zone
// whose order has changed or which act on another order. Without it an agent would get no
// flows until its next hello after its zone was put back into service. Each balancer picks
// others, so the balancers of a zone reach nearly all of its agents together.
func (d *Director) helloChangedAgents(before *Orders) {
	requested := 0
	for _, a := range d.agents {
		order := d.zoneOrder(a.zone)
		changed := order != before.zoneOrder(a.zone) || order == ZoneInService && a.state == ServerEvacuated
		if a.local && changed && requested < maxImmediateHellos {
			d.contacts.Request(a.addr)
			requested++
		}
	}
}

// zoneOrder returns the order for an availability zone; 0 is an unknown zone.
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

// zoneOrder returns the order for an availability zone that this balancer sends to
// agents.
func (d *Director) zoneOrder(zone uint32) ZoneOrder {
	order := d.orders.zoneOrder(zone)
	if order == ZoneInService && d.unconfirmedZones.has(zone) {
		return ZoneUnconfirmed
	}
	return order
}

// coldRate returns the request rate that a cold server of the service can handle.
func (o *Orders) coldRate(service ServiceID) ColdRate {
	if o.Routes == nil {
		return 0
	}
	return o.Routes.ColdRates[service]
}

// inService reports whether an agent's zone may get new flows as far as this balancer
// knows. While some zone is evacuated, an agent of unknown zone may not; its first
// report names its zone.
func (d *Director) inService(a *agent) bool {
	return d.allInService() || d.zoneOrder(a.zone) == ZoneInService
}

// allInService reports whether no availability zone is evacuated.
func (d *Director) allInService() bool {
	return len(d.orders.Evacuated) == 0 && d.unconfirmedZones.none()
}

// evacuated reports whether all known agents of a service are in evacuated zones. Its
// callers are refused at once, since waiting would not help them.
func (d *Director) evacuated(id ServiceID) bool {
	if d.allInService() {
		return false
	}
	known := false
	for _, a := range d.agentsOf(id) {
		if a.ended() {
			continue
		}
		if !d.zoneOrder(a.zone).excludesNewFlows() {
			return false
		}
		known = true
	}
	return known
}

// evacuatedZones returns the availability zones that get no new flows, sorted.
func (d *Director) evacuatedZones() []uint32 {
	return slices.Sorted(maps.Keys(d.orders.Evacuated))
}

// receivedOrders is what an agent has received of the operator's orders.
type receivedOrders struct {
	number   uint64 // of the orders; 0: none received yet
	zone     ZoneOrder
	service  ServiceID // that the rate below applies to
	coldRate ColdRate
}

// receiveOrders records the operator's orders in a balancer's message. Balancers
// receive new orders at different times, so the agent acts on the orders with the
// highest number.
func (g *Gate) receiveOrders(now time.Time, m *Message) {
	if m.ZoneOrder == ZoneUnknown || m.Revision < g.orders.number {
		return
	}
	if g.evacuationMayBeMissing(now, m.ZoneOrder) {
		return
	}
	known := m.Service == g.orders.service || m.Service != g.server.service
	if m.Revision == g.orders.number && known && !g.overrules(now, m.ZoneOrder) {
		return
	}
	before := g.State(now)
	if g.evacuated() && m.ZoneOrder == ZoneInService {
		g.server.coldUnknown = true // it got no new flows, and may be cold by now
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
