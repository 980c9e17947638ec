package membership

import "time"

// ZoneStatus is the reachability of one availability zone from one region. It
// replaces thousands of verdicts on single processes when a zone is lost or
// regions lose contact. It holds for the region of the viewer only, and balancers
// of other regions ignore it: a zone that one region can't reach may be reachable
// from a third.
//
// An odd Epoch means suspected: the zone counts as unreachable once there are
// enough Witnesses. A witness is a balancer outside the zone for which neither
// the balancer it observes in the zone nor that balancer's observers inside the
// zone answer. The first message directly from the zone raises the epoch to an
// even one: reachable. If an agent sent it, the zone's balancers may still have
// failed; AgentsOnly is then set until one of them sends a message, and the zone's
// processes are evaluated one by one, because a zone that works isn't lost.
type ZoneStatus struct {
	_ struct{} `cbor:",toarray"`

	ViewerRegion string // region of the witnesses
	Zone         string
	Region       string
	Epoch        uint32
	AgentsOnly   bool     // since the zone became reachable again, only its agents have sent messages to the viewer region
	Witnesses    []uint64 // packed addresses, at most maxWitnesses
}

const (
	maxWitnesses = 5
	// Zones with fewer balancers are evaluated process by process.
	minZoneStatusBalancers = 4
	// One witness is required for each observersPerWitness possible ones.
	observersPerWitness = 3
	// A balancer doesn't start a new suspicion of a zone within zoneHoldDown of the
	// last change of the zone's status that it made or received, so that a flapping
	// link can't fill the gossip with epochs.
	zoneHoldDown = 5 * time.Second
)

func (s *ZoneStatus) check() error {
	if s.Zone == "" || len(s.Zone) > MaxLabel || len(s.Region) > MaxLabel || len(s.ViewerRegion) > MaxLabel {
		return &MessageError{"zone status with a label out of bounds", "count and drop the datagram"}
	}
	if len(s.Witnesses) > maxWitnesses {
		return &MessageError{"zone status with too many witnesses", "count and drop the datagram"}
	}
	return nil
}

// zoneState is the status of one zone as seen from this balancer's region.
type zoneState struct {
	epoch      uint32
	agentsOnly bool
	witnesses  []key
	changedAt  time.Time
	sent       int // gossip transmissions of the current content
}

func (s *zoneState) suspected() bool { return s.epoch%2 == 1 }

func (s *zoneState) addWitness(k key) bool {
	for _, w := range s.witnesses {
		if w == k {
			return false
		}
	}
	if len(s.witnesses) >= maxWitnesses {
		return false
	}
	s.witnesses = append(s.witnesses, k)
	return true
}

// zoneState returns the state of zone z.
func (m *Machine) zoneState(z uint16) *zoneState {
	for len(m.zoneStates) <= int(z) {
		m.zoneStates = append(m.zoneStates, zoneState{sent: 1 << 20})
	}
	return &m.zoneStates[z]
}

// recordUnreachable records this balancer as a witness that zone z is unreachable.
func (m *Machine) recordUnreachable(now time.Time, z uint16) {
	v := m.zoneState(z)
	if !v.suspected() {
		if now.Sub(v.changedAt) < zoneHoldDown {
			return
		}
		v.epoch++
		v.agentsOnly = false
		v.witnesses = v.witnesses[:0]
	}
	if v.addWitness(m.selfKey) {
		m.zoneStateChanged(now, z)
	}
}

// recordContact records that a message came directly from c.
func (m *Machine) recordContact(now time.Time, c *cell) {
	v := m.zoneState(c.zone)
	fromAgent := c.role == RoleAgent
	switch {
	case v.suspected():
		v.epoch++
	case v.agentsOnly && !fromAgent:
		v.epoch += 2
	default:
		return
	}
	v.agentsOnly = fromAgent
	v.witnesses = v.witnesses[:0]
	m.zoneStateChanged(now, c.zone)
}

// mergeZoneStatus merges the zone status sent by another balancer of this region.
func (m *Machine) mergeZoneStatus(now time.Time, f *ZoneStatus) {
	z, ok := m.members.zoneOf[f.Region+"/"+f.Zone]
	if !ok || f.ViewerRegion != m.self.self.Region || z == m.zone {
		return
	}
	v := m.zoneState(z)
	if f.Epoch < v.epoch {
		return
	}
	changed := f.Epoch > v.epoch
	if changed {
		v.epoch, v.agentsOnly = f.Epoch, f.AgentsOnly
		v.witnesses = v.witnesses[:0]
	}
	for _, w := range f.Witnesses {
		changed = v.addWitness(key(w)) || changed
	}
	if changed {
		m.zoneStateChanged(now, z)
	}
}

// zoneStateChanged queues the new content for gossip and updates whether the zone
// is down.
func (m *Machine) zoneStateChanged(now time.Time, z uint16) {
	v := m.zoneState(z)
	v.changedAt = now
	v.sent = 0
	info := &m.members.zones[z]
	down := v.suspected() && z != m.zone && len(v.witnesses) >= m.quorum(z)
	if down == info.down {
		return
	}
	info.down = down
	m.members.gen++
	if !down {
		m.resetZoneObservations(now, z)
	}
	m.changes = append(m.changes, Change{Kind: ChangeZone, Zone: info.name, Region: info.region, Reachable: !down})
}

// quorum is the number of witnesses required. The possible ones are the observers,
// in this region, of the zone's balancers.
func (m *Machine) quorum(z uint16) int {
	possible := 0
	for _, k := range m.members.live[z] {
		far, ok := m.members.farZone(k, z)
		if ok && m.members.zones[far].region == m.self.self.Region {
			possible++
		}
	}
	return min(max(possible/observersPerWitness, 1), maxWitnesses)
}

// addZoneStatuses adds the statuses that still have to spread to a gossip message
// and returns the space left in it, in bytes.
func (m *Machine) addZoneStatuses(msg *Message, space int) int {
	for z := range m.zoneStates {
		v := &m.zoneStates[z]
		if v.sent >= m.transmissions() {
			continue
		}
		info := &m.members.zones[z]
		f := ZoneStatus{ViewerRegion: m.self.self.Region, Zone: info.name, Region: info.region, Epoch: v.epoch, AgentsOnly: v.agentsOnly}
		for _, w := range v.witnesses {
			f.Witnesses = append(f.Witnesses, uint64(w))
		}
		if f.size() > space {
			break
		}
		space -= f.size()
		v.sent += fanOut
		msg.Zones = append(msg.Zones, f)
	}
	return space
}
