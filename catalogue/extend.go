package catalogue

import (
	"context"
	"slices"
)

// extend applies changes to c and returns the resulting head. A tail larger than
// layoutSizes.tail is written as a log page, and logs larger than
// layoutSizes.logs are compacted into a new base. Pages are written before the
// head refers to them, so that a crash in between leaves only unreferenced pages.
func (ed *Editor) extend(ctx context.Context, c *Catalogue, h Head, changes []Change) (Head, error) {
	for _, ch := range changes {
		if err := c.Apply(ch); err != nil {
			return Head{}, err
		}
	}
	next := h
	next.Revision, next.Checksum, next.Next = c.revision, c.checksum, c.next
	next.Tail = slices.Concat(h.Tail, changes)
	if len(encode(next.Tail)) <= ed.layoutSizes().tail {
		return next, nil
	}
	// The newest changes stay in the head, so that its readers need no page,
	// unless these changes alone exceed the limit.
	logged := h.Tail
	next.Tail = changes
	if len(encode(changes)) > ed.layoutSizes().tail {
		logged = slices.Concat(h.Tail, changes)
		next.Tail = nil
	}
	if len(logged) > 0 {
		if err := ed.writeLog(ctx, &next, logged); err != nil {
			return Head{}, err
		}
	}
	if next.logBytes() <= ed.layoutSizes().logs {
		return next, nil
	}
	return ed.rebase(ctx, c, next)
}

// writeLog writes changes as a log page and adds it to next.
func (ed *Editor) writeLog(ctx context.Context, next *Head, changes []Change) error {
	data := encode(changes)
	l := logRef{changes[0].Revision, changes[len(changes)-1].Revision, next.Checksum, len(data)}
	if err := writePage(ctx, ed.Store, l.key(), data); err != nil {
		return err
	}
	next.Logs = append(slices.Clone(next.Logs), l)
	return nil
}

// logBytes returns the total size in bytes of the log pages after the base.
func (h Head) logBytes() int {
	n := 0
	for _, l := range h.Logs {
		if l.Last > h.Base.Revision {
			n += l.Size
		}
	}
	return n
}

// rebase compacts the logs into a new base. The pages of the old base are
// removed by the next rebase, so that a reader of the old head can still
// complete its load.
func (ed *Editor) rebase(ctx context.Context, c *Catalogue, h Head) (Head, error) {
	base, err := writeBase(ctx, ed.Store, c, ed.layoutSizes().page)
	if err != nil {
		return Head{}, err
	}
	for _, key := range h.garbage() {
		if err := ed.Store.Delete(ctx, key); err != nil && !isKind(err, KindNotFound) {
			return Head{}, err
		}
	}
	trim := max(0, len(h.Logs)-ed.layoutSizes().keptLogs)
	h.OldBase, h.OldLogs = h.Base, h.Logs[:trim]
	h.Base, h.Logs = base, h.Logs[trim:]
	return h, nil
}

// discard removes the pages of an attempt whose head was rejected. No other head
// can refer to them, because their keys are unique to the attempt. A page that
// can't be removed remains unreferenced.
func (ed *Editor) discard(ctx context.Context, before, rejected Head) {
	kept := before.pages()
	for _, key := range rejected.pages() {
		if !slices.Contains(kept, key) {
			_ = ed.Store.Delete(ctx, key)
		}
	}
}
