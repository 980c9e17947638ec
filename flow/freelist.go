package flow

// freeLists keeps what ended flows leave behind, so that the first packet of the
// next one allocates nothing: under a flood of first packets or of packets of
// unknown flows the collector would else take a small VM's processor. What it
// holds is bounded by the flows that were ever remembered at once.
type freeLists struct {
	entries  []*entry
	openings []*opening
	seeks    []*seek
	returns  []*returning
}

// take returns the last of a list, or a new one.
func take[T any](list *[]*T) *T {
	n := len(*list)
	if n == 0 {
		return new(T)
	}
	v := (*list)[n-1]
	*list = (*list)[:n-1]
	return v
}

func (p *freeLists) entry() *entry {
	e := take(&p.entries)
	*e = entry{}
	return e
}

func (p *freeLists) opening() *opening {
	o := take(&p.openings)
	*o = opening{}
	return o
}

// seek returns a seek with the memory of an earlier one.
func (p *freeLists) seek() *seek {
	k := take(&p.seeks)
	*k = seek{asked: k.asked[:0], packet: k.packet[:0], kept: k.kept[:0]}
	return k
}

// release takes back what belongs to an entry beside its place. Effects of the
// running call may still refer to it; nothing is taken out again before the next
// call.
func (p *freeLists) release(e *entry) {
	if e.open != nil {
		p.openings = append(p.openings, e.open)
		e.open = nil
	}
	if e.seek != nil {
		e.seek.serial = 0
		p.seeks = append(p.seeks, e.seek)
		e.seek = nil
	}
	if e.returning != nil {
		e.returning.serial = 0
		p.returns = append(p.returns, e.returning)
		e.returning = nil
	}
}

// releaseAll takes an entry back whole.
func (p *freeLists) releaseAll(e *entry) {
	p.release(e)
	p.entries = append(p.entries, e)
}
