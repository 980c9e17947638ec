package main

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"github.com/hemlockscale/hemlockscale/catalogue"
)

// applyFile applies the entries of a file in edits of at most
// catalogue.MaxEdit entries. The first edit that fails ends the command; earlier
// edits stay in force and have been reported.
func (c *cli) applyFile(ctx context.Context) error {
	f, err := c.readFile()
	if err != nil {
		return err
	}
	if c.base == 0 {
		c.base = f.Revision
	}
	if len(f.Entries) == 0 {
		return usagef("file %s contains no entries; add them under entries:", c.file)
	}
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	for part := range slices.Chunk(f.Entries, catalogue.MaxEdit) {
		if err := c.edit(ctx, catalogue.Edit{Editor: c.editorName, Put: part, Base: c.base}); err != nil {
			return err
		}
	}
	return nil
}

func (c *cli) deleteServices(ctx context.Context) error {
	if len(c.args) == 0 || c.owner == "" {
		return usagef("delete needs the owner and the services; use hemlockctl delete -owner OWNER SERVICE")
	}
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	return c.edit(ctx, catalogue.Edit{Editor: c.editorName, Owner: c.owner, Delete: c.args, Base: c.base})
}

func (c *cli) edit(ctx context.Context, e catalogue.Edit) error {
	if e.Editor == "" {
		return usagef("no editor given; set -editor or HEMLOCK_EDITOR")
	}
	a, err := c.editor.Apply(ctx, e)
	if err != nil {
		return err
	}
	return c.reportAccepted(a)
}

// outcome is the report of an edit.
type outcome struct {
	Outcome  string             `json:"outcome"` // accepted, refused, unknown or failed
	Revision uint64             `json:"revision,omitempty"`
	Edit     string             `json:"edit,omitempty"`
	Error    string             `json:"error,omitempty"`
	Next     string             `json:"next,omitempty"`    // the settle command that resolves an unknown outcome
	Changes  []catalogue.Change `json:"changes,omitempty"` // made by the edit, or conflicting with it
}

func (c *cli) reportAccepted(a catalogue.Accepted) error {
	c.report(c.out, outcome{Outcome: "accepted", Revision: a.Revision, Edit: a.Edit.String(), Changes: a.Changes})
	return nil
}

// settle finds out whether an edit whose response was lost is in force.
func (c *cli) settle(ctx context.Context) error {
	id, err := catalogue.ParseEditID(c.settings.edit)
	if err != nil {
		return usagef("%v", err)
	}
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	a, err := c.editor.Resolve(ctx, id)
	if err != nil {
		return err
	}
	return c.reportAccepted(a)
}

// check validates a file by itself: the schema, and conflicts between its entries.
func (c *cli) check(context.Context) error {
	f, err := c.readFile()
	if err != nil {
		return err
	}
	if _, err := catalogue.New().Plan(catalogue.Edit{Editor: "check", Put: f.Entries}, catalogue.EditID{}, plannedTime); err != nil {
		return &catalogue.RefusedError{Err: err}
	}
	c.report(c.out, outcome{Outcome: "accepted"})
	return nil
}

// diff shows what applying a file would change in the current catalogue.
func (c *cli) diff(ctx context.Context) error {
	f, err := c.readFile()
	if err != nil {
		return err
	}
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	cat, _, _, err := catalogue.Load(ctx, c.editor.Store)
	if err != nil {
		return err
	}
	changes, err := cat.Plan(catalogue.Edit{Editor: "diff", Put: f.Entries}, catalogue.EditID{}, plannedTime)
	if err != nil {
		return &catalogue.RefusedError{Err: err}
	}
	return c.showDiff(cat, changes)
}

func (c *cli) get(ctx context.Context) error {
	if len(c.args) != 1 {
		return usagef("get needs one service; use hemlockctl get SERVICE")
	}
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	cat, _, _, err := catalogue.Load(ctx, c.editor.Store)
	if err != nil {
		return err
	}
	e, ok := cat.Entry(c.args[0])
	if !ok {
		return &catalogue.EntryNotFoundError{Service: c.args[0]}
	}
	return c.showEntry(cat.Revision(), e)
}

func (c *cli) list(ctx context.Context) error {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	cat, _, _, err := catalogue.Load(ctx, c.editor.Store)
	if err != nil {
		return err
	}
	return c.showList(cat)
}

func (c *cli) history(ctx context.Context) error {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	changes, oldest, err := c.editor.History(ctx, c.after)
	if err != nil {
		return err
	}
	if c.service != "" {
		changes = slices.DeleteFunc(changes, func(ch catalogue.Change) bool { return ch.Entry.Service != c.service })
	}
	if c.limit > 0 && len(changes) > c.limit {
		changes = changes[len(changes)-c.limit:]
	}
	return c.showHistory(changes, oldest)
}

// errNotInForce is returned by status, which then exits with exitRefused.
var errNotInForce = errors.New("not every balancer has the store's revision in force; check the balancers that the table lists as not in force")

func (c *cli) describeChange(ch catalogue.Change) string {
	return fmt.Sprintf("revision %d: %s %s by %s at %s", ch.Revision, ch.Op, ch.Entry.Service, ch.Editor, ch.When().UTC().Format(timeLayout))
}
