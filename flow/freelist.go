package flow

// freeLists keeps the objects of removed flows for reuse, so that the first packet of a
// flow allocates no memory. Otherwise, under a flood of first packets or of packets of
// unknown flows, garbage collection would use up the processor of a small VM. The lists
// are bounded by the highest number of flows that were in the table at once.
type freeLists struct {
	entries  []*entry
	openings []*opening
	lookups  []*lookup
	resets   []*pendingReset
}

// take removes and returns the last object of a list, or a new one if the list is empty.
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

// lookup returns a cleared lookup that reuses the slices of an earlier one.
func (p *freeLists) lookup() *lookup {
	l := take(&p.lookups)
	*l = lookup{targets: l.targets[:0], packet: l.packet[:0], buffered: l.buffered[:0]}
	return l
}

// release puts the objects that an entry refers to back into the lists. Effects of the
// current call may still refer to them; they are not reused before the next call.
func (p *freeLists) release(e *entry) {
	if e.open != nil {
		p.openings = append(p.openings, e.open)
		e.open = nil
	}
	if e.lookup != nil {
		e.lookup.serial = 0
		p.lookups = append(p.lookups, e.lookup)
		e.lookup = nil
	}
	if e.reset != nil {
		e.reset.serial = 0
		p.resets = append(p.resets, e.reset)
		e.reset = nil
	}
}

// releaseAll puts an entry and the objects that it refers to back into the lists.
func (p *freeLists) releaseAll(e *entry) {
	p.release(e)
	p.entries = append(p.entries, e)
}
