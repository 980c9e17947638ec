package membership

// observers is the number of balancers that observe one process. Three let a
// majority of two decide while one of them is cut off or dead.
const observers = 3

// nearObservers of them sit in a balancer's own availability zone; the rest
// sit outside, so that somebody notices when the whole zone is lost.
const nearObservers = 2

// score is the rendezvous weight of balancer b for the subject s.
func score(s, b key) uint64 { return mix(mix(uint64(s)+0x9e3779b97f4a7c15) ^ uint64(b)) }

// top collects the best-scored balancers for one subject.
type top struct {
	subject key
	keys    [observers]key
	scores  [observers]uint64
	n       int
}

// add offers balancers from list; at most limit of all are kept.
func (t *top) add(list []key, limit int) {
	base := t.n
	for _, b := range list {
		if b == t.subject || t.has(b, base) {
			continue
		}
		t.insert(b, base, limit)
	}
}

func (t *top) has(b key, n int) bool {
	for _, k := range t.keys[:n] {
		if k == b {
			return true
		}
	}
	return false
}

// insert keeps keys[base:n] ordered by falling score.
func (t *top) insert(b key, base, limit int) {
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

func (t *top) list() []key { return t.keys[:t.n] }

// hash identifies the set of observers regardless of their order.
func hashKeys(keys []key) uint64 {
	var h uint64
	for _, k := range keys {
		h ^= mix(uint64(k) + 1)
	}
	return h & 0xffffffff
}

// rank returns the observers of the subject. Every balancer with the same
// roster returns the same ones. An agent has all in its own zone, a balancer
// has nearObservers there; what a small zone lacks comes from the others.
func (r *memberList) rank(subject key, role Role, zone uint16) top {
	t := top{subject: subject}
	if role == RoleAgent {
		t.add(r.live[zone], observers)
	} else {
		t.add(r.live[zone], nearObservers)
		if z, ok := r.farZone(subject, zone); ok {
			t.add(r.live[z], t.n+1)
		}
	}
	if t.n < observers {
		t.add(r.liveAll(), observers)
	}
	return t
}

// farZone picks the zone of the outside observer by rendezvous over zones.
func (r *memberList) farZone(subject key, zone uint16) (uint16, bool) {
	best, found := uint64(0), false
	var pick uint16
	for z, list := range r.live {
		if uint16(z) == zone || len(list) == 0 || r.zones[z].down {
			continue
		}
		s := score(subject, key(r.zones[z].hash))
		if !found || s > best {
			best, pick, found = s, uint16(z), true
		}
	}
	return pick, found
}
