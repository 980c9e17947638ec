package membership

import "time"

// ZoneStatus says whether one availability zone can be reached from one region.
// It stands in place of thousands of suspicions when a zone is lost, or when
// regions lose each other. It is a fact about a viewer, since a zone that one
// region can't reach may well be in contact with a third: balancers of other
// regions ignore it.
//
// An odd Epoch means doubted: the zone is taken as unreachable once enough
// Witnesses, all outside the zone, say that neither the balancer that they
// observe nor its observers inside the zone answer. The first message that
// comes straight from the zone raises the epoch to an even one, reachable.
// If it came from an agent, the zone's balancers may still be gone; they are
// then judged one by one, because a zone that works isn't lost.
type ZoneStatus struct {
	_ struct{} `cbor:",toarray"`

	ViewerRegion string // region of the witnesses
	Zone         string
	Region       string
	Epoch        uint32
	AgentsOnly   bool     // agents of the zone were heard, but no balancer since
	Witnesses    []uint64 // packed addresses, at most maxWitnesses
}

const (
	maxWitnesses = 5
	// Zones with fewer balancers are judged record by record: there are few.
	foldBalancers = 4
	// One of so many possible witnesses has to be one.
	possiblePerWitness = 3
	// A doubt isn't raised again so soon after the zone was heard, so that a
	// flapping link can't fill the gossip with epochs.
	zoneSettle = 5 * time.Second
)

func (f *ZoneStatus) check() error {
	if f.Zone == "" || len(f.Zone) > MaxLabel || len(f.Region) > MaxLabel || len(f.ViewerRegion) > MaxLabel {
		return &MessageError{"zone fact with a label out of bounds", "count and drop the datagram"}
	}
	if len(f.Witnesses) > maxWitnesses {
		return &MessageError{"zone fact with too many witnesses", "count and drop the datagram"}
	}
	return nil
}

// zoneView is what this balancer's region holds of one zone.
type zoneView struct {
	epoch     uint32
	partial   bool
	witnesses []key
	changedAt time.Time
	sent      int // gossip transmissions of this content
}

func (v *zoneView) doubted() bool { return v.epoch%2 == 1 }

func (v *zoneView) add(k key) bool {
	for _, w := range v.witnesses {
		if w == k {
			return false
		}
	}
	if len(v.witnesses) >= maxWitnesses {
		return false
	}
	v.witnesses = append(v.witnesses, k)
	return true
}

// view returns the view of zone z.
func (m *Machine) view(z uint16) *zoneView {
	for len(m.views) <= int(z) {
		m.views = append(m.views, zoneView{sent: 1 << 20})
	}
	return &m.views[z]
}

// witness records that this balancer can't reach zone z.
func (m *Machine) witness(now time.Time, z uint16) {
	v := m.view(z)
	if !v.doubted() {
		if now.Sub(v.changedAt) < zoneSettle {
			return
		}
		v.epoch++
		v.partial = false
		v.witnesses = v.witnesses[:0]
	}
	if v.add(m.selfKey) {
		m.viewChanged(now, z)
	}
}

// reached notes that a message came straight from c.
func (m *Machine) reached(now time.Time, c *cell) {
	v := m.view(c.zone)
	fromAgent := c.role == RoleAgent
	switch {
	case v.doubted():
		v.epoch++
	case v.partial && !fromAgent:
		v.epoch += 2
	default:
		return
	}
	v.partial = fromAgent
	v.witnesses = v.witnesses[:0]
	m.viewChanged(now, c.zone)
}

// mergeFact takes in what another balancer of this region says.
func (m *Machine) mergeFact(now time.Time, f *ZoneStatus) {
	z, ok := m.roster.zoneOf[f.Region+"/"+f.Zone]
	if !ok || f.ViewerRegion != m.self.self.Region || z == m.zone {
		return
	}
	v := m.view(z)
	if f.Epoch < v.epoch {
		return
	}
	changed := f.Epoch > v.epoch
	if changed {
		v.epoch, v.partial = f.Epoch, f.AgentsOnly
		v.witnesses = v.witnesses[:0]
	}
	for _, w := range f.Witnesses {
		changed = v.add(key(w)) || changed
	}
	if changed {
		m.viewChanged(now, z)
	}
}

// viewChanged spreads the new content and settles whether the zone is down.
func (m *Machine) viewChanged(now time.Time, z uint16) {
	v := m.view(z)
	v.changedAt = now
	v.sent = 0
	info := &m.roster.zones[z]
	down := v.doubted() && z != m.zone && len(v.witnesses) >= m.quorum(z)
	if down == info.down {
		return
	}
	info.down = down
	m.roster.gen++
	if !down {
		m.renewWatches(now, z)
	}
	m.changes = append(m.changes, Change{Kind: ChangeZone, Zone: info.name, Region: info.region, Reachable: !down})
}

// quorum is the number of witnesses that it takes. The possible ones are the
// observers, in this region, of the zone's balancers.
func (m *Machine) quorum(z uint16) int {
	possible := 0
	for _, k := range m.roster.live[z] {
		far, ok := m.roster.farZone(k, z)
		if ok && m.roster.zones[far].region == m.self.self.Region {
			possible++
		}
	}
	return min(max(possible/possiblePerWitness, 1), maxWitnesses)
}

// zoneFacts adds the facts that still have to spread to a gossip message.
func (m *Machine) zoneFacts(msg *Message, room int) int {
	for z := range m.views {
		v := &m.views[z]
		if v.sent >= m.transmissions() {
			continue
		}
		info := &m.roster.zones[z]
		f := ZoneStatus{ViewerRegion: m.self.self.Region, Zone: info.name, Region: info.region, Epoch: v.epoch, AgentsOnly: v.partial}
		for _, w := range v.witnesses {
			f.Witnesses = append(f.Witnesses, uint64(w))
		}
		if f.size() > room {
			break
		}
		room -= f.size()
		v.sent += fanOut
		msg.Zones = append(msg.Zones, f)
	}
	return room
}
