package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/hemlockscale/hemlockscale/catalogue"
)

const timeLayout = "2006-01-02T15:04:05Z"

// plannedTime is the time of changes that are planned but not made.
var plannedTime = time.Unix(0, 0)

// report prints the outcome of an edit.
func (c *cli) report(w io.Writer, o outcome) {
	if c.output == outJSON {
		_ = writeJSON(w, o)
		return
	}
	switch o.Outcome {
	case "accepted":
		if o.Edit == "" {
			fmt.Fprintln(w, "accepted: the file is valid")
			return
		}
		fmt.Fprintf(w, "accepted: revision %d, %d entries changed, edit %s\n", o.Revision, len(o.Changes), o.Edit)
	default:
		fmt.Fprintf(w, "%s: %s\n", o.Outcome, o.Error)
		for _, ch := range o.Changes {
			fmt.Fprintln(w, "  changed since the base revision:", c.describeChange(ch))
		}
		if o.Next != "" {
			fmt.Fprintln(w, "  to find out:", o.Next)
		}
	}
}

func writeJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// table writes a header and rows in aligned columns.
func table(w io.Writer, header string, rows []string) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, header)
	for _, r := range rows {
		fmt.Fprintln(tw, r)
	}
	return tw.Flush()
}

func row(cells ...any) string {
	parts := make([]string, len(cells))
	for i, c := range cells {
		parts[i] = fmt.Sprint(c)
	}
	return strings.Join(parts, "\t")
}

func addresses(list []netip.Addr) string {
	parts := make([]string, len(list))
	for i, a := range list {
		parts[i] = a.String()
	}
	return strings.Join(parts, ",")
}

// entryView is an entry with the catalogue revision at which it was read.
type entryView struct {
	Revision uint64          `json:"revision"`
	Entry    catalogue.Entry `json:"entry"`
}

func (c *cli) showEntry(revision uint64, e catalogue.Entry) error {
	if c.output == outJSON {
		return writeJSON(c.out, entryView{revision, e})
	}
	data, err := catalogue.Format(catalogue.File{Revision: revision, Entries: []catalogue.Entry{e}})
	if err != nil {
		return err
	}
	_, err = c.out.Write(data)
	return err
}

// listView is the output of list: all entries of the catalogue.
type listView struct {
	Revision uint64             `json:"revision"`
	Checksum catalogue.Checksum `json:"checksum"`
	Entries  []catalogue.Entry  `json:"entries"`
}

func (c *cli) showList(cat *catalogue.Catalogue) error {
	entries := cat.Entries()
	if c.output == outJSON {
		return writeJSON(c.out, listView{cat.Revision(), cat.Checksum(), entries})
	}
	rows := make([]string, len(entries))
	for i, e := range entries {
		rows[i] = row(e.Service, e.Owner, e.Class, e.Number, e.Version, addresses(e.Addresses))
	}
	return table(c.out, "SERVICE\tOWNER\tCLASS\tNUMBER\tVERSION\tADDRESSES", rows)
}

// historyView is the output of history: the changes that the store still keeps.
type historyView struct {
	Oldest  uint64             `json:"oldest_kept_revision"`
	Changes []catalogue.Change `json:"changes"`
}

func (c *cli) showHistory(changes []catalogue.Change, oldest uint64) error {
	if c.output == outJSON {
		return writeJSON(c.out, historyView{oldest + 1, changes})
	}
	rows := make([]string, len(changes))
	for i, ch := range changes {
		rows[i] = row(ch.Revision, ch.When().UTC().Format(timeLayout), ch.Editor, ch.Op, ch.Entry.Service, ch.Edit)
	}
	return table(c.out, "REVISION\tTIME\tEDITOR\tCHANGE\tSERVICE\tEDIT", rows)
}

// fieldDiff is one field that an edit would change.
type fieldDiff struct {
	Service string `json:"service"`
	Field   string `json:"field"`
	Old     string `json:"old"`
	New     string `json:"new"`
}

func (c *cli) showDiff(cat *catalogue.Catalogue, changes []catalogue.Change) error {
	var diffs []fieldDiff
	for _, ch := range changes {
		old, _ := cat.Entry(ch.Entry.Service)
		diffs = append(diffs, diffEntry(old, ch.Entry)...)
	}
	if c.output == outJSON {
		return writeJSON(c.out, diffs)
	}
	rows := make([]string, len(diffs))
	for i, d := range diffs {
		rows[i] = row(d.Service, d.Field, d.Old, d.New)
	}
	return table(c.out, "SERVICE\tFIELD\tNOW\tAFTER", rows)
}

func diffEntry(old, e catalogue.Entry) []fieldDiff {
	before, after := fields(old), fields(e)
	var diffs []fieldDiff
	for i, f := range after {
		if before[i].New != f.New {
			diffs = append(diffs, fieldDiff{e.Service, f.Field, before[i].New, f.New})
		}
	}
	return diffs
}

func fields(e catalogue.Entry) []fieldDiff {
	return []fieldDiff{
		{Field: "owner", New: e.Owner},
		{Field: "addresses", New: addresses(e.Addresses)},
		{Field: "class", New: string(e.Class)},
		{Field: "limits.connections", New: fmt.Sprint(e.Limits.Connections)},
		{Field: "limits.slots", New: fmt.Sprint(e.Limits.Slots)},
		{Field: "limits.queue", New: fmt.Sprint(e.Limits.Queue)},
		{Field: "limits.rate", New: fmt.Sprint(e.Limits.Rate)},
		{Field: "limits.deadline", New: e.Limits.Deadline.String()},
	}
}
