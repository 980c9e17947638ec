package catalogue

import (
	"context"
	"slices"
)

// extend returns the head after changes. A tail over sizes.tail is written
// out as a log page, and logs over sizes.logs are folded into a new base.
// Pages are written before the head names them: a crash in between leaves
// pages that nobody reads and nothing else.
func (ed *Editor) extend(ctx context.Context, c *Catalogue, h Head, changes []Change) (Head, error) {
	for _, ch := range changes {
		if err := c.Apply(ch); err != nil {
			return Head{}, err
		}
	}
	next := h
	next.Revision, next.Checksum, next.Next = c.revision, c.checksum, c.next
	next.Tail = slices.Concat(h.Tail, changes)
	if len(encode(next.Tail)) <= ed.limits().tail {
		return next, nil
	}
	// The newest changes stay in the head, so that its readers need no page,
	// unless they alone are over the limit.
	full := h.Tail
	next.Tail = changes
	if len(encode(changes)) > ed.limits().tail {
		full = slices.Concat(h.Tail, changes)
		next.Tail = nil
	}
	if len(full) > 0 {
		if err := ed.writeLog(ctx, &next, full); err != nil {
			return Head{}, err
		}
	}
	if next.logBytes() <= ed.limits().logs {
		return next, nil
	}
	return ed.rebase(ctx, c, next)
}

func (ed *Editor) writeLog(ctx context.Context, next *Head, full []Change) error {
	data := encode(full)
	l := logRef{full[0].Revision, full[len(full)-1].Revision, next.Checksum, len(data)}
	if err := writePage(ctx, ed.Store, l.key(), data); err != nil {
		return err
	}
	next.Logs = append(slices.Clone(next.Logs), l)
	return nil
}

// logBytes returns the size of the log pages behind the base.
func (h Head) logBytes() int {
	n := 0
	for _, l := range h.Logs {
		if l.Last > h.Base.Revision {
			n += l.Size
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
	for _, key := range h.garbage() {
		if err := ed.Store.Delete(ctx, key); err != nil && !isKind(err, KindNotFound) {
			return Head{}, err
		}
	}
	trim := max(0, len(h.Logs)-ed.limits().kept)
	h.OldBase, h.OldLogs = h.Base, h.Logs[:trim]
	h.Base, h.Logs = base, h.Logs[trim:]
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
