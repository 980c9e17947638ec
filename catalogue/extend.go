package catalogue

import (
	"context"
	"slices"
)

// extend returns the head after changes. A tail over sizes.tail is first
// written out as a log page, and logs over sizes.logs are folded into a new
// base. Pages are written before the head names them: a crash in between
// leaves pages that nobody reads and nothing else.
func (ed *Editor) extend(ctx context.Context, c *Catalogue, h Head, changes []Change) (Head, error) {
	for _, ch := range changes {
		if err := c.Apply(ch); err != nil {
			return Head{}, err
		}
	}
	next := h
	next.Revision, next.Checksum, next.Next = c.revision, c.checksum, c.next
	next.Tail = append(append([]Change(nil), h.Tail...), changes...)
	data := encode(next.Tail)
	if len(data) <= ed.limits().tail {
		return next, nil
	}
	page, err := writePage(ctx, ed.Store, "log", c, data)
	if err != nil {
		return Head{}, err
	}
	next.Logs = append(append([]logRef(nil), h.Logs...), logRef{next.Tail[0].Revision, next.Revision, page})
	next.Tail = nil
	if next.logBytes() <= ed.limits().logs {
		return next, nil
	}
	return ed.rebase(ctx, c, next)
}

// logBytes returns the size of the log pages behind the base.
func (h Head) logBytes() int {
	n := 0
	for _, l := range h.Logs {
		if l.Last > h.Base.Revision {
			n += l.Page.Size
		}
	}
	return n
}

// rebase folds the logs into a new base. The pages of the old base are
// removed at the rebase after this one, so a reader that holds the old head
// can still finish.
func (ed *Editor) rebase(ctx context.Context, c *Catalogue, h Head) (Head, error) {
	base, err := writeBase(ctx, ed.Store, c, ed.limits().page)
	if err != nil {
		return Head{}, err
	}
	for _, key := range h.Garbage {
		if err := ed.Store.Delete(ctx, key); err != nil && !isKind(err, KindNotFound) {
			return Head{}, err
		}
	}
	h.Garbage = nil
	for _, p := range h.Base.Pages {
		h.Garbage = append(h.Garbage, p.Key)
	}
	for len(h.Logs) > ed.limits().kept {
		h.Garbage = append(h.Garbage, h.Logs[0].Page.Key)
		h.Logs = h.Logs[1:]
	}
	h.Base = base
	return h, nil
}

// discard removes the pages of an attempt that lost the race. Nobody can come
// to name them: their keys are this attempt's alone. A page that cannot be
// removed now stays unread.
func (ed *Editor) discard(ctx context.Context, before, lost Head) {
	kept := before.pages()
	for _, key := range lost.pages() {
		if !slices.Contains(kept, key) {
			_ = ed.Store.Delete(ctx, key)
		}
	}
}
