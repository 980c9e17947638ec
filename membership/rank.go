package membership

// observers is the number of balancers that observe one process. With three, a
// majority of two decides while one of them is cut off or has failed.
const observers = 3

// nearObservers of them are in a balancer's own availability zone; the rest are
// outside, so that the loss of the whole zone is detected.
const nearObservers = 2

// score is the rendezvous hash score of balancer b for the subject s.
func score(s, b key) uint64 { return mix(mix(uint64(s)+0x9e3779b97f4a7c15) ^ uint64(b)) }

// ranking collects the balancers with the highest scores for one subject.
type ranking struct {
	subject key
	keys    [observers]key
	scores  [observers]uint64
	n       int
}

// add ranks the balancers of list; at most limit balancers are kept in total.
func (t *ranking) add(list []key, limit int) {
	base := t.n
	for _, b := range list {
		if b == t.subject || t.has(b, base) {
			continue
		}
		t.insert(b, base, limit)
	}
}

func (t *ranking) has(b key, n int) bool {
	for _, k := range t.keys[:n] {
		if k == b {
			return true
		}
	}
	return false
}

// insert keeps keys[base:n] in descending order of score.
func (t *ranking) insert(b key, base, limit int) {
	s := score(t.subject, b)
	i := t.n
	for i > base && t.scores[i-1] < s {
		i--
	}
	if i >= limit {
		return
	}
	if t.n < limit {
		t.n++
	}
	copy(t.keys[i+1:t.n], t.keys[i:t.n-1])
	copy(t.scores[i+1:t.n], t.scores[i:t.n-1])
	t.keys[i], t.scores[i] = b, s
}

func (t *ranking) list() []key { return t.keys[:t.n] }

// hashKeys identifies a set of observers regardless of their order.
func hashKeys(keys []key) uint64 {
	var h uint64
	for _, k := range keys {
		h ^= mix(uint64(k) + 1)
	}
	return h & 0xffffffff
}

// rank returns the observers of the subject. Every balancer with the same member
// list returns the same ones. All observers of an agent are in its zone, and
// nearObservers of a balancer's; if a zone has too few, the rest are in others.
func (l *memberList) rank(subject key, role Role, zone uint16) ranking {
	t := ranking{subject: subject}
	if role == RoleAgent {
		t.add(l.live[zone], observers)
	} else {
		t.add(l.live[zone], nearObservers)
		if z, ok := l.farZone(subject, zone); ok {
			t.add(l.live[z], t.n+1)
		}
	}
	if t.n < observers {
		t.add(l.liveAll(), observers)
	}
	return t
}

// farZone picks the zone of the outside observer by rendezvous hashing over zones.
func (l *memberList) farZone(subject key, zone uint16) (uint16, bool) {
	best, found := uint64(0), false
	var pick uint16
	for z, list := range l.live {
		if uint16(z) == zone || len(list) == 0 || l.zones[z].down {
			continue
		}
		s := score(subject, key(l.zones[z].hash))
		if !found || s > best {
			best, pick, found = s, uint16(z), true
		}
	}
	return pick, found
}
