package membership

import (
	"net/netip"
	"time"
)

const (
	// minOverdue is the least time from the first missing report to a suspicion.
	// In it the process and its other observers are queried every queryRetry, so
	// that lost heartbeats alone cause no suspicion; after it every slowQueryRetry.
	minOverdue     = time.Second
	queryRetry     = 250 * time.Millisecond
	slowQueryRetry = time.Second
	// majority is the number of observers that must agree on a suspicion.
	majority = 2
	// auditSweep is the number of ticks in which the audit checks the whole
	// member list once.
	auditSweep = 200
	// maxSoleObserverFactor bounds how far refuted suspicions of a sole observer
	// lengthen SoleObserverAfter.
	maxSoleObserverFactor = 32
)

// observation is the state that this balancer keeps of one process it observes.
type observation struct {
	key                key
	observedSince      time.Time // start of the uninterrupted observation
	aliveAt            time.Time // last report received here or by another observer
	reportAt           time.Time // last report received here
	overdueSince       time.Time // since when reports are missing; zero if none is
	queriedAt          time.Time
	suspectAt          time.Time // when this balancer first saw the verdict suspect
	version            uint32    // version that has the verdict suspect
	confirmedBy        [observers]key
	confirmations      int
	ackOmitted         bool // the last heartbeat was not acknowledged
	soleObserverFactor int  // multiplies SoleObserverAfter
	gen                uint64
	rank               ranking
}

func (o *observation) clearOverdue() {
	o.overdueSince = time.Time{}
	o.confirmations = 0
}

// detectPause resets all observations after a pause of this process. Otherwise a
// balancer that was stopped for 30 s would treat every process as failed and report
// this to others.
func (m *Machine) detectPause(now time.Time) {
	gap := now.Sub(m.lastCallAt)
	first := m.lastCallAt.IsZero()
	m.lastCallAt = now
	if first || gap < m.cfg.Timing.PauseAfter {
		return
	}
	m.stats.Pauses++
	for i := range m.observations {
		m.observations[i].reset(now)
	}
}

func (o *observation) reset(now time.Time) {
	o.observedSince, o.aliveAt, o.suspectAt = now, now, now
	o.clearOverdue()
}

// resetZoneObservations resets the observations of a zone that is reachable again.
func (m *Machine) resetZoneObservations(now time.Time, z uint16) {
	for i := range m.observations {
		if c := m.members.find(m.observations[i].key); c != nil && c.zone == z {
			m.observations[i].reset(now)
		}
	}
}

// observe returns the observation of k and starts it if there is none.
func (m *Machine) observe(now time.Time, k key) *observation {
	if i, ok := m.observationOf[k]; ok {
		return &m.observations[i]
	}
	m.observationOf[k] = len(m.observations)
	m.observations = append(m.observations, observation{key: k, observedSince: now, aliveAt: now, soleObserverFactor: 1})
	return &m.observations[len(m.observations)-1]
}

func (m *Machine) stopObserving(i int) {
	last := len(m.observations) - 1
	delete(m.observationOf, m.observations[i].key)
	if i != last {
		m.observations[i] = m.observations[last]
		m.observationOf[m.observations[i].key] = i
	}
	m.observations = m.observations[:last]
}

func (m *Machine) recordReport(now time.Time, k key) {
	o := m.observe(now, k)
	o.aliveAt, o.reportAt = now, now
	o.clearOverdue()
}

func (m *Machine) rankOf(o *observation, c *cell) *ranking {
	if o.gen != m.members.gen || o.rank.n == 0 {
		o.rank = m.members.rank(o.key, c.role, c.zone)
		o.gen = m.members.gen
	}
	return &o.rank
}

// isolated reports whether this balancer has received no messages at all for
// IsolatedAfter, so that the fault is more likely its own.
func (m *Machine) isolated(now time.Time) bool {
	return now.Sub(m.receivedAt) > m.cfg.Timing.IsolatedAfter
}

func (m *Machine) evaluateAll(now time.Time) {
	for i := len(m.observations) - 1; i >= 0; i-- {
		if m.evaluate(now, &m.observations[i]) {
			m.stopObserving(i)
		}
	}
}

// evaluate evaluates one process and reports whether to stop observing it.
func (m *Machine) evaluate(now time.Time, o *observation) (done bool) {
	if now.Sub(o.aliveAt) < m.cfg.Timing.SuspectAfter {
		return false
	}
	c := m.members.find(o.key)
	if c == nil || c.verdict == VerdictDead {
		return true
	}
	rank := m.rankOf(o, c)
	if !contains(rank.list(), m.selfKey) {
		return true
	}
	if m.isolated(now) || m.members.zones[c.zone].down {
		return false
	}
	if c.verdict == VerdictSuspect {
		m.evaluateSuspect(now, o, c)
		return false
	}
	m.confirmFailure(now, o, c, rank)
	return false
}

func (m *Machine) evaluateSuspect(now time.Time, o *observation, c *cell) {
	if o.suspectAt.IsZero() || o.version != c.version {
		o.suspectAt, o.version = now, c.version
	}
	if now.Sub(o.suspectAt) >= m.cfg.Timing.DeadAfter {
		m.stats.DeclaredDead++
		m.setVerdict(now, c, VerdictDead)
	}
}

// confirmFailure queries the other observers and suspects the process once a
// majority of observers receives no reports. The path from the process to a single
// observer may be cut while the process works, so one observer decides alone only
// after SoleObserverAfter, and only if the process isn't evaluated by zone.
func (m *Machine) confirmFailure(now time.Time, o *observation, c *cell, rank *ranking) {
	if o.overdueSince.IsZero() {
		o.overdueSince = now
	}
	overdue := now.Sub(o.overdueSince)
	if o.confirmations+1 >= majority && overdue >= minOverdue {
		m.suspect(now, o, c)
		return
	}
	if m.evaluatedByZone(c) && overdue >= m.cfg.Timing.ZoneLossAfter {
		m.recordUnreachable(now, c.zone)
	}
	if !m.evaluatedByZone(c) && overdue >= time.Duration(o.soleObserverFactor)*m.cfg.Timing.SoleObserverAfter {
		o.soleObserverFactor = min(o.soleObserverFactor*2, maxSoleObserverFactor)
		m.suspect(now, o, c)
		return
	}
	retry := queryRetry
	if overdue > minOverdue {
		retry = slowQueryRetry
	}
	if now.Sub(o.queriedAt) < retry {
		return
	}
	o.queriedAt = now
	m.ping(c)
	for _, k := range rank.list() {
		if k != m.selfKey {
			m.send(k.addrPort(), &Message{
				Kind: KindLivenessQuery, Incarnation: c.incarnation, Peers: []netip.AddrPort{o.key.addrPort()},
			})
		}
	}
}

// ping asks a process to announce itself at once.
func (m *Machine) ping(c *cell) {
	m.send(c.key.addrPort(), &Message{Kind: KindAck, Flags: FlagSendRecord, Incarnation: c.incarnation, EntryVersion: m.ackEntryVersion(c.service)})
}

// evaluatedByZone reports whether missing reports of c, without an answer of its other
// observers, are evidence that its whole zone is unreachable. This requires that this
// balancer is outside the zone, that the zone has at least minZoneStatusBalancers live
// balancers, and that its status isn't AgentsOnly.
func (m *Machine) evaluatedByZone(c *cell) bool {
	return c.zone != m.zone && len(m.members.live[c.zone]) >= minZoneStatusBalancers && !m.zoneState(c.zone).agentsOnly
}

func (m *Machine) suspect(now time.Time, o *observation, c *cell) {
	o.clearOverdue()
	m.stats.Suspected++
	m.setVerdict(now, c, VerdictSuspect)
}

func (m *Machine) setVerdict(now time.Time, c *cell, v Verdict) {
	rec := m.members.record(c)
	rec.Verdict = v
	m.apply(now, &rec, 0)
}

// onLivenessQuery answers another observer whether the process reports here. There
// is no answer while this balancer can't decide: it has not observed the process
// for long enough, or is isolated.
func (m *Machine) onLivenessQuery(now time.Time, from netip.AddrPort, msg *Message) {
	if len(msg.Peers) != 1 {
		return
	}
	c := m.members.find(keyOf(msg.Peers[0]))
	if c == nil || c.incarnation != msg.Incarnation || c.key == m.selfKey {
		return
	}
	o := m.observe(now, c.key)
	sinceReport := now.Sub(o.reportAt)
	if sinceReport >= m.cfg.Timing.SuspectAfter/2 {
		m.ping(c)
	}
	answer := &Message{Kind: KindLivenessReply, Incarnation: msg.Incarnation, Peers: msg.Peers}
	switch limit := m.cfg.Timing.SuspectAfter * 2 / 3; {
	case sinceReport < limit:
		answer.Flags = FlagResponsive
	case now.Sub(o.observedSince) >= limit && now.Sub(o.aliveAt) >= limit && now.Sub(m.receivedAt) <= m.cfg.Timing.IsolatedAfter:
		answer.Flags = FlagUnresponsive
	default:
		return
	}
	m.send(from, answer)
}

func (m *Machine) onLivenessReply(now time.Time, from netip.AddrPort, msg *Message) {
	if len(msg.Peers) != 1 {
		return
	}
	i, ok := m.observationOf[keyOf(msg.Peers[0])]
	if !ok || m.observations[i].overdueSince.IsZero() {
		return
	}
	o := &m.observations[i]
	if msg.Flags&FlagResponsive != 0 {
		o.aliveAt = now
		o.clearOverdue()
		return
	}
	k := keyOf(from)
	if msg.Flags&FlagUnresponsive != 0 && o.confirmations < len(o.confirmedBy) && !contains(o.confirmedBy[:o.confirmations], k) {
		o.confirmedBy[o.confirmations] = k
		o.confirmations++
	}
}
