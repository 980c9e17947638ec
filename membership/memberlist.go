package membership

import "hash/fnv"

// Sizes of the digest tree. Records are hashed into buckets, buckets form groups.
// The digests of all groups, or of all buckets of a group, fit into one message.
const (
	groupCount  = 64
	groupSize   = 64
	bucketCount = groupCount * groupSize
	hashLen     = 4 // bytes of a digest on the wire
)

// cell is a Record without pointers: 40 bytes, so that the garbage collector
// never scans the member list and 105,000 of them take about 4 MB.
type cell struct {
	key         key
	incarnation uint64
	version     uint32
	service     uint32
	bulk, admin uint16
	zone        uint16 // index into memberList.zones
	role        Role
	state       State
	verdict     Verdict
	weight      uint8
	next        int32 // next cell of the same bucket, -1 at the end
}

// zone is an availability zone; its name is stored once for all records.
type zone struct {
	name, region string
	hash         uint64
	down         bool // unreachable from this region, see ZoneStatus
	cells        int
}

// memberList is the compact table of all records, with the digests and indices
// that are updated on each change.
type memberList struct {
	index    map[key]int32
	cells    []cell
	free     []int32
	zones    []zone
	zoneOf   map[string]uint16
	live     [][]key // by zone: balancers that may observe and receive gossip
	all      []key   // all of live in one list, cached
	allGen   uint64
	gen      uint64 // incremented on each change of live
	services map[uint32][]int32
	buckets  [bucketCount]uint64
	heads    [bucketCount]int32
	groups   [groupCount]uint64
	root     uint64
	count    int // number of records in the digest
}

func newMemberList() *memberList {
	r := &memberList{
		index:    map[key]int32{},
		zoneOf:   map[string]uint16{},
		services: map[uint32][]int32{},
	}
	for i := range r.heads {
		r.heads[i] = -1
	}
	return r
}

func bucketOf(k key) int { return int(mix(uint64(k)) % bucketCount) }

// zoneIndex returns the index of a zone, which it adds if it is new.
func (l *memberList) zoneIndex(name, region string) uint16 {
	full := region + "/" + name
	if i, ok := l.zoneOf[full]; ok {
		return i
	}
	h := fnv.New64a()
	h.Write([]byte(full))
	i := uint16(len(l.zones))
	l.zones = append(l.zones, zone{name: name, region: region, hash: h.Sum64()})
	l.live = append(l.live, nil)
	l.zoneOf[full] = i
	return i
}

// hash covers the fields that distinguish the versions of a record.
func (c *cell) hash() uint64 {
	h := mix(uint64(c.key) + 1)
	h = mix(h ^ c.incarnation)
	return mix(h ^ uint64(c.version)<<8 ^ uint64(c.verdict))
}

// digested reports whether c is part of the digest. Dead records are not: each
// balancer removes them at its own time, and repair must not treat that as a
// difference.
func (c *cell) digested() bool { return c.verdict != VerdictDead }

// observes reports whether c may observe other processes.
func (c *cell) observes() bool {
	return c.role == RoleBalancer && c.verdict == VerdictAlive && c.state != StateLeaving
}

func (l *memberList) toggleDigest(c *cell) {
	if !c.digested() {
		return
	}
	h := c.hash()
	b := bucketOf(c.key)
	l.buckets[b] ^= h
	l.groups[b/groupSize] ^= h
	l.root ^= h
}

func (l *memberList) find(k key) *cell {
	i, ok := l.index[k]
	if !ok {
		return nil
	}
	return &l.cells[i]
}

func (l *memberList) record(c *cell) Record {
	z := &l.zones[c.zone]
	return Record{
		Addr: c.key.addrPort(), Role: c.role, State: c.state, Verdict: c.verdict,
		Weight: c.weight, Service: c.service, Incarnation: c.incarnation, Version: c.version,
		Bulk: c.bulk, Admin: c.admin, Zone: z.name, Region: z.region,
	}
}

// put stores rec without comparing it with the stored record; the caller has
// compared them.
func (l *memberList) put(rec *Record) *cell {
	k := keyOf(rec.Addr)
	i, known := l.index[k]
	if known {
		l.unlink(i)
	} else {
		i = l.alloc(k)
	}
	c := &l.cells[i]
	*c = cell{
		key: k, incarnation: rec.Incarnation, version: rec.Version, service: rec.Service,
		bulk: rec.Bulk, admin: rec.Admin, zone: l.zoneIndex(rec.Zone, rec.Region),
		role: rec.Role, state: rec.State, verdict: rec.Verdict, weight: rec.Weight, next: c.next,
	}
	l.link(i)
	return c
}

func (l *memberList) alloc(k key) int32 {
	var i int32
	if n := len(l.free); n > 0 {
		i = l.free[n-1]
		l.free = l.free[:n-1]
	} else {
		i = int32(len(l.cells))
		l.cells = append(l.cells, cell{})
	}
	l.index[k] = i
	b := bucketOf(k)
	l.cells[i].next = l.heads[b]
	l.heads[b] = i
	return i
}

// link adds cell i to the digests and indices, unlink removes it from them.
func (l *memberList) link(i int32) {
	c := &l.cells[i]
	l.toggleDigest(c)
	l.zones[c.zone].cells++
	if c.digested() {
		l.count++
	}
	if c.observes() {
		l.live[c.zone] = append(l.live[c.zone], c.key)
		l.gen++
	}
	if c.role == RoleAgent {
		l.services[c.service] = append(l.services[c.service], i)
	}
}

func (l *memberList) unlink(i int32) {
	c := &l.cells[i]
	l.toggleDigest(c)
	l.zones[c.zone].cells--
	if c.digested() {
		l.count--
	}
	if c.observes() {
		l.live[c.zone] = without(l.live[c.zone], c.key)
		l.gen++
	}
	if c.role == RoleAgent {
		l.services[c.service] = without(l.services[c.service], i)
	}
}

// remove removes the record of k.
func (l *memberList) remove(k key) {
	i, ok := l.index[k]
	if !ok {
		return
	}
	l.unlink(i)
	delete(l.index, k)
	p := &l.heads[bucketOf(k)]
	for *p != i {
		p = &l.cells[*p].next
	}
	*p = l.cells[i].next
	l.cells[i] = cell{}
	l.free = append(l.free, i)
}

// liveAll returns the live balancers of all reachable zones.
func (l *memberList) liveAll() []key {
	if l.allGen == l.gen && l.all != nil {
		return l.all
	}
	l.all = l.all[:0]
	for z, list := range l.live {
		if !l.zones[z].down {
			l.all = append(l.all, list...)
		}
	}
	l.allGen = l.gen
	return l.all
}

// without removes v from list without keeping the order.
func without[T comparable](list []T, v T) []T {
	for i := range list {
		if list[i] == v {
			list[i] = list[len(list)-1]
			return list[:len(list)-1]
		}
	}
	return list
}
