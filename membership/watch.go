package membership

import (
	"net/netip"
	"time"
)

const (
	// doubtFor is the least time from the first doubt to a suspicion. In it the
	// process and its other observers are asked every doubtRetry, so that lost
	// heartbeats alone don't make a suspicion; after it only every slowRetry.
	doubtFor   = time.Second
	doubtRetry = 250 * time.Millisecond
	slowRetry  = time.Second
	// majority of the observers makes a suspicion.
	majority = 2
	// auditSweep is the number of ticks in which the audit passes the whole
	// roster once.
	auditSweep = 200
	// maxAlone bounds how far refuted lonely suspicions stretch AloneAfter.
	maxAlone = 32
)

// watch is what this balancer, as an observer, holds of one process.
type watch struct {
	key       key
	since     time.Time // watched without interruption since
	heardAt   time.Time // last heard, or vouched for by another observer
	directAt  time.Time // last heard directly
	doubtFrom time.Time // zero while there is no doubt
	askedAt   time.Time
	suspectAt time.Time // when the verdict suspect was first seen here
	version   uint32    // that the verdict holds for
	agree     [observers]key
	agreed    int
	skipped   bool // the last heartbeat got no ack
	alone     int  // factor of AloneAfter
	gen       uint64
	rank      top
}

func (w *watch) clear() {
	w.doubtFrom = time.Time{}
	w.agreed = 0
}

// noticePause gives everybody a fresh start after a pause of this process. It
// was us who did not listen: without this, a balancer that was stopped for
// 30 s would find everybody silent, and say so to others.
func (m *Machine) noticePause(now time.Time) {
	gap := now.Sub(m.calledAt)
	first := m.calledAt.IsZero()
	m.calledAt = now
	if first || gap < m.cfg.Timing.PauseAfter {
		return
	}
	m.stats.Pauses++
	for i := range m.watches {
		m.watches[i].renew(now)
	}
}

func (w *watch) renew(now time.Time) {
	w.since, w.heardAt, w.suspectAt = now, now, now
	w.clear()
}

// renewWatches gives a fresh start to the processes of a zone that is back.
func (m *Machine) renewWatches(now time.Time, z uint16) {
	for i := range m.watches {
		if c := m.roster.find(m.watches[i].key); c != nil && c.zone == z {
			m.watches[i].renew(now)
		}
	}
}

// watchFor returns the watch of k, a new one if there is none.
func (m *Machine) watchFor(now time.Time, k key) *watch {
	if i, ok := m.watchOf[k]; ok {
		return &m.watches[i]
	}
	m.watchOf[k] = len(m.watches)
	m.watches = append(m.watches, watch{key: k, since: now, heardAt: now, alone: 1})
	return &m.watches[len(m.watches)-1]
}

func (m *Machine) unwatch(i int) {
	last := len(m.watches) - 1
	delete(m.watchOf, m.watches[i].key)
	if i != last {
		m.watches[i] = m.watches[last]
		m.watchOf[m.watches[i].key] = i
	}
	m.watches = m.watches[:last]
}

func (m *Machine) heard(now time.Time, k key) {
	w := m.watchFor(now, k)
	w.heardAt, w.directAt = now, now
	w.clear()
}

func (m *Machine) rankOf(w *watch, c *cell) *top {
	if w.gen != m.roster.gen || w.rank.n == 0 {
		w.rank = m.roster.rank(w.key, c.role, c.zone)
		w.gen = m.roster.gen
	}
	return &w.rank
}

// isolated tells that nothing at all reaches this balancer, so that the fault
// is more likely its own.
func (m *Machine) isolated(now time.Time) bool {
	return now.Sub(m.receivedAt) > m.cfg.Timing.IsolatedAfter
}

func (m *Machine) judgeAll(now time.Time) {
	for i := len(m.watches) - 1; i >= 0; i-- {
		if m.judge(now, &m.watches[i]) {
			m.unwatch(i)
		}
	}
}

// judge looks at one process and reports whether to stop watching it.
func (m *Machine) judge(now time.Time, w *watch) (done bool) {
	if now.Sub(w.heardAt) < m.cfg.Timing.SuspectAfter {
		return false
	}
	c := m.roster.find(w.key)
	if c == nil || c.verdict == VerdictDead {
		return true
	}
	rank := m.rankOf(w, c)
	if !contains(rank.list(), m.selfKey) {
		return true
	}
	if m.isolated(now) || m.roster.zones[c.zone].down {
		return false
	}
	if c.verdict == VerdictSuspect {
		m.judgeSuspect(now, w, c)
		return false
	}
	m.doubt(now, w, c, rank)
	return false
}

func (m *Machine) judgeSuspect(now time.Time, w *watch, c *cell) {
	if w.suspectAt.IsZero() || w.version != c.version {
		w.suspectAt, w.version = now, c.version
	}
	if now.Sub(w.suspectAt) >= m.cfg.Timing.DeadAfter {
		m.stats.DeclaredDead++
		m.sentence(now, c, VerdictDead)
	}
}

// doubt asks the other observers and suspects the process once a majority of
// them finds it silent. One observer is not enough: the way to it may be cut
// while the process works well.
func (m *Machine) doubt(now time.Time, w *watch, c *cell, rank *top) {
	if w.doubtFrom.IsZero() {
		w.doubtFrom = now
	}
	lasted := now.Sub(w.doubtFrom)
	if w.agreed+1 >= majority && lasted >= doubtFor {
		m.suspect(now, w, c)
		return
	}
	if m.foldable(c) && lasted >= m.cfg.Timing.ZoneLossAfter {
		m.witness(now, c.zone)
	}
	if !m.foldable(c) && lasted >= time.Duration(w.alone)*m.cfg.Timing.SoleObserverAfter {
		w.alone = min(w.alone*2, maxAlone)
		m.suspect(now, w, c)
		return
	}
	retry := doubtRetry
	if lasted > doubtFor {
		retry = slowRetry
	}
	if now.Sub(w.askedAt) < retry {
		return
	}
	w.askedAt = now
	m.ping(c)
	for _, k := range rank.list() {
		if k != m.selfKey {
			m.send(k.addrPort(), &Message{
				Kind: KindLivenessQuery, Incarnation: c.incarnation, Peers: []netip.AddrPort{w.key.addrPort()},
			})
		}
	}
}

// ping asks a process to announce itself at once.
func (m *Machine) ping(c *cell) {
	m.send(c.key.addrPort(), &Message{Kind: KindAck, Flags: FlagSendRecord, Incarnation: c.incarnation, EntryVersion: m.entry(c.service)})
}

// foldable tells that the silence of c and of its observers is judged as that
// of its whole zone: this balancer sits outside, and the zone is not small.
func (m *Machine) foldable(c *cell) bool {
	return c.zone != m.zone && len(m.roster.live[c.zone]) >= foldBalancers && !m.view(c.zone).partial
}

func (m *Machine) suspect(now time.Time, w *watch, c *cell) {
	w.clear()
	m.stats.Suspected++
	m.sentence(now, c, VerdictSuspect)
}

func (m *Machine) sentence(now time.Time, c *cell, v Verdict) {
	rec := m.roster.record(c)
	rec.Verdict = v
	m.apply(now, &rec, 0)
}

// onDoubt tells another observer what is known here. There is no answer while
// this balancer can't judge: not watching for long enough, or isolated.
func (m *Machine) onDoubt(now time.Time, from netip.AddrPort, msg *Message) {
	if len(msg.Peers) != 1 {
		return
	}
	c := m.roster.find(keyOf(msg.Peers[0]))
	if c == nil || c.incarnation != msg.Incarnation || c.key == m.selfKey {
		return
	}
	w := m.watchFor(now, c.key)
	silent := now.Sub(w.directAt)
	if silent >= m.cfg.Timing.SuspectAfter/2 {
		m.ping(c)
	}
	answer := &Message{Kind: KindLivenessReply, Incarnation: msg.Incarnation, Peers: msg.Peers}
	switch limit := m.cfg.Timing.SuspectAfter * 2 / 3; {
	case silent < limit:
		answer.Flags = FlagResponsive
	case now.Sub(w.since) >= limit && now.Sub(w.heardAt) >= limit && now.Sub(m.receivedAt) <= m.cfg.Timing.IsolatedAfter:
		answer.Flags = FlagUnresponsive
	default:
		return
	}
	m.send(from, answer)
}

func (m *Machine) onOpinion(now time.Time, from netip.AddrPort, msg *Message) {
	if len(msg.Peers) != 1 {
		return
	}
	i, ok := m.watchOf[keyOf(msg.Peers[0])]
	if !ok || m.watches[i].doubtFrom.IsZero() {
		return
	}
	w := &m.watches[i]
	if msg.Flags&FlagResponsive != 0 {
		w.heardAt = now
		w.clear()
		return
	}
	k := keyOf(from)
	if msg.Flags&FlagUnresponsive != 0 && w.agreed < len(w.agree) && !contains(w.agree[:w.agreed], k) {
		w.agree[w.agreed] = k
		w.agreed++
	}
}
