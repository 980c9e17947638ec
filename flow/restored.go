package flow

import "time"

// rewriteWindow is how long an evacuation from before the store came back from an older
// copy stays in force although the store does not have it. The operator writes it again
// in that time.
const rewriteWindow = 4 * time.Second

// storeRestore describes the last time that the store came back from an older copy.
type storeRestore struct {
	first uint64    // orders numbered from this on were read after it
	until time.Time // the operator may not have written all of its orders again before this time
}

func newStoreRestore(now time.Time, first uint64) storeRestore {
	return storeRestore{first: first, until: now.Add(rewriteWindow)}
}

// unconfirmedZones are the availability zones that were evacuated by earlier orders
// although the orders in force, read after the store came back from an older copy, do
// not name them. They get no new flows until the operator has had time to write its
// orders again.
type unconfirmedZones struct {
	restored storeRestore
	zones    map[uint32]struct{} // by ZoneID
}

// update applies the change from one set of orders in force to another.
func (z *unconfirmedZones) update(now time.Time, before, after *Orders) {
	if before.Number < z.restored.first && after.Number >= z.restored.first {
		for zone := range before.Evacuated {
			z.add(now, zone)
		}
	}
	for zone := range after.Evacuated {
		delete(z.zones, zone)
	}
}

// add excludes a zone from new flows until the rewrite window ends. It returns false if
// the window has ended.
func (z *unconfirmedZones) add(now time.Time, zone uint32) bool {
	if !now.Before(z.restored.until) {
		return false
	}
	if z.zones == nil {
		z.zones = make(map[uint32]struct{})
	}
	z.zones[zone] = struct{}{}
	return true
}

// has reports whether a zone is excluded from new flows for this reason.
func (z *unconfirmedZones) has(zone uint32) bool {
	_, ok := z.zones[zone]
	return ok
}

func (z *unconfirmedZones) none() bool { return len(z.zones) == 0 }

// expire removes the zones once the rewrite window has ended, and reports whether there
// were any.
func (z *unconfirmedZones) expire(now time.Time) bool {
	if z.none() || now.Before(z.restored.until) {
		return false
	}
	z.zones = nil
	return true
}

// StoreRestored records that orders numbered first or above are read after the store
// came back from an older copy. Agents of the balancer's own zone are sent a hello
// message at once: the store may have lost their keys, which have to be written again
// before the next hello is due.
func (d *Director) StoreRestored(now time.Time, first uint64) {
	d.unconfirmedZones.restored = newStoreRestore(now, first)
	d.helloOwnZone()
}

// helloOwnZone requests an immediate hello message to agents of the balancer's own zone.
// Each balancer picks others, so the balancers of a zone reach nearly all of its agents
// together.
func (d *Director) helloOwnZone() {
	requested := 0
	for _, a := range d.agents {
		if a.local && requested < maxImmediateHellos {
			d.contacts.Request(a.addr)
			requested++
		}
	}
}

// expireUnconfirmedZones puts zones back into service whose evacuation the operator has
// not written again within the rewrite window.
func (d *Director) expireUnconfirmedZones(now time.Time) {
	if d.unconfirmedZones.expire(now) {
		d.allTablesChanged()
		d.helloOwnZone()
	}
}

// recordUnconfirmedZone handles an agent's report that its zone is evacuated while the
// orders in force may have lost that evacuation, because this balancer has started
// since the store came back.
func (d *Director) recordUnconfirmedZone(now time.Time, a *agent) {
	if a.state != ServerEvacuated || now.Sub(d.started) >= rewriteWindow || d.zoneOrder(a.zone) != ZoneInService {
		return
	}
	if d.unconfirmedZones.add(now, a.zone) {
		d.allTablesChanged()
		d.helloOwnZone()
	}
}

// StoreRestored records that orders numbered first or above were read after the store
// came back from an older copy. The agent reports it to balancers, which may not have read
// the store since.
func (g *Gate) StoreRestored(now time.Time, first uint64) {
	g.newestOrders = max(g.newestOrders, first)
	g.restored = newStoreRestore(now, first)
	g.report(now, true)
}

// evacuationMayBeMissing reports whether orders that put the zone back into service may
// only have lost its evacuation, which the operator has yet to write again. Applied,
// they would bring new flows into an evacuated zone; a zone that was really put back
// into service waits some seconds longer.
func (g *Gate) evacuationMayBeMissing(now time.Time, zone ZoneOrder) bool {
	if zone != ZoneInService || !g.evacuated() || !now.Before(g.restored.until) {
		return false
	}
	return g.orders.number < g.restored.first || g.orders.zone == ZoneUnconfirmed
}

// overrules reports whether a balancer's order replaces another balancer's order of the
// same number. After the store came back, the order of a balancer that knows of an
// evacuation replaces that of one that has started since; after the rewrite window
// neither takes precedence.
func (g *Gate) overrules(now time.Time, zone ZoneOrder) bool {
	if zone == ZoneUnconfirmed {
		return g.orders.zone == ZoneInService && now.Before(g.restored.until)
	}
	return zone == ZoneInService && g.orders.zone == ZoneUnconfirmed
}
