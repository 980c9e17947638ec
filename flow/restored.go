package flow

import "time"

// rewriteTime is how long an evacuation of before the store came back from an older copy
// stays in force although the store lacks it: the operator writes it again in that time.
const rewriteTime = 4 * time.Second

// restored is what a process knows of the store's last return from an older copy.
type restored struct {
	first uint64    // orders with numbers from this one on were read after it
	until time.Time // the operator may not have written all of its orders again before
}

func restoredAt(now time.Time, first uint64) restored {
	return restored{first: first, until: now.Add(rewriteTime)}
}

// lackingZones is the availability zones that a balancer knows as evacuated although the
// orders in force, read after the store came back from an older copy, do not name them. They
// get no new flows until the operator has written its orders again.
type lackingZones struct {
	restored restored
	zones    map[uint32]struct{} // by ZoneID
}

// update takes orders that are put in force in place of others.
func (l *lackingZones) update(now time.Time, before, after *Orders) {
	if before.Number < l.restored.first && after.Number >= l.restored.first {
		for zone := range before.Evacuated {
			l.add(now, zone)
		}
	}
	for zone := range after.Evacuated {
		delete(l.zones, zone)
	}
}

// add has a zone get no new flows for as long as the operator may have yet to write. It
// reports whether it may.
func (l *lackingZones) add(now time.Time, zone uint32) bool {
	if !now.Before(l.restored.until) {
		return false
	}
	if l.zones == nil {
		l.zones = make(map[uint32]struct{})
	}
	l.zones[zone] = struct{}{}
	return true
}

// has reports whether a zone gets no new flows for this reason.
func (l *lackingZones) has(zone uint32) bool {
	_, ok := l.zones[zone]
	return ok
}

func (l *lackingZones) none() bool { return len(l.zones) == 0 }

// expire forgets the zones once the operator has had its time, and reports whether there
// were any.
func (l *lackingZones) expire(now time.Time) bool {
	if l.none() || now.Before(l.restored.until) {
		return false
	}
	l.zones = nil
	return true
}

// StoreRestored notes that orders numbered first, or above, are read after the store has
// come back from an older copy. Agents of the balancer's own zone are greeted at once:
// what the store held of them may be gone, and has to be there again before the next
// greeting is due.
func (d *Director) StoreRestored(now time.Time, first uint64) {
	d.lacking.restored = restoredAt(now, first)
	d.greetOwnZone(now)
}

// greetAtOnce bounds the agents that one balancer greets out of turn. Each takes others, so
// the balancers of a zone reach nearly all of its agents together.
const greetAtOnce = 64

// greetOwnZone has agents of the balancer's own zone greeted at once.
func (d *Director) greetOwnZone(now time.Time) {
	greeted := 0
	for _, a := range d.agents {
		if a.local && greeted < greetAtOnce {
			a.helloAt = now
			greeted++
		}
	}
}

// expireLacking puts zones back into service whose evacuation the operator has not written
// again in its time.
func (d *Director) expireLacking(now time.Time) {
	if d.lacking.expire(now) {
		d.retableAll()
		d.greetOwnZone(now)
	}
}

// learnLacking takes an agent's word that its zone is evacuated, where the orders in force
// may merely lack that: this balancer has started since the store came back.
func (d *Director) learnLacking(now time.Time, a *agent) {
	if a.state != ServerEvacuated || now.Sub(d.started) >= rewriteTime || d.zoneOrder(a.zone) != ZoneInService {
		return
	}
	if d.lacking.add(now, a.zone) {
		d.retableAll()
		d.greetOwnZone(now)
	}
}

// StoreRestored notes that orders numbered first, or above, were read after the store had
// come back from an older copy. Balancers are told with the agent's messages: they may not
// have read the store since.
func (g *Gate) StoreRestored(now time.Time, first uint64) {
	g.newestOrders = max(g.newestOrders, first)
	g.restored = restoredAt(now, first)
}

// mayLack reports whether orders that put the zone back into service may merely lack its
// evacuation, which the operator has yet to write again. Acted on, they would bring new
// flows into a zone that is evacuated; a zone that was really given back waits for some
// seconds more.
func (g *Gate) mayLack(now time.Time, zone ZoneOrder) bool {
	if zone != ZoneInService || !g.evacuated() || !now.Before(g.restored.until) {
		return false
	}
	return g.orders.number < g.restored.first || g.orders.zone == ZoneUnconfirmed
}

// overrules reports whether a balancer's order holds in place of another one's under the
// same number. After the store came back, one that knows of an evacuation does over one
// that has started since; once the operator has had its time, neither knows more.
func (g *Gate) overrules(now time.Time, zone ZoneOrder) bool {
	if zone == ZoneUnconfirmed {
		return g.orders.zone == ZoneInService && now.Before(g.restored.until)
	}
	return zone == ZoneInService && g.orders.zone == ZoneUnconfirmed
}
