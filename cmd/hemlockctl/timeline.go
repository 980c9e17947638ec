package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

// maxLogLine is the largest length of a log line in bytes. A longer line is an error
// that names the file.
const maxLogLine = 1 << 20

// flowFlags defines the flags of the flow command.
func flowFlags(fs *flag.FlagSet, s *settings) {
	fs.DurationVar(&s.around, "around", 0, "also show lines without a flow, such as state changes, from this long before the flow's first line to this long after its last")
}

// logLine is one line of a process's log.
type logLine struct {
	At         time.Time         `json:"at"`
	Source     string            `json:"source"` // file name and the text before the line's JSON object
	Role       string            `json:"role"`
	Msg        string            `json:"msg"`
	Flow       string            `json:"flow,omitempty"`
	Fields     map[string]string `json:"fields,omitempty"`
	fieldOrder []string          // keys of Fields in the order of the line
}

// flow prints the lines of one flow from the logs of several processes, sorted by time.
func (c *cli) flow(context.Context) error {
	if len(c.args) < 2 {
		return usagef("flow needs the caller's address, with its port if known, and the processes' logs; use hemlockctl flow CALLER LOG...")
	}
	caller, err := callerFilter(c.args[0])
	if err != nil {
		return err
	}
	var lines []logLine
	for _, name := range c.args[1:] {
		parsed, err := readLog(name)
		if err != nil {
			return err
		}
		lines = append(lines, parsed...)
	}
	timeline := selectTimeline(lines, caller, c.around)
	if len(timeline) == 0 {
		return fmt.Errorf("none of %d log lines belongs to a flow of %s; name more logs, or the lines were dropped by sampling, which writes 100 lines a second of each message and then every 50th", len(lines), c.args[0])
	}
	return c.showTimeline(timeline)
}

// callerFilter returns a function that reports whether a flow comes from the caller s,
// an address or an address with a port.
func callerFilter(s string) (match func(flow string) bool, err error) {
	if a, err := netip.ParseAddrPort(s); err == nil {
		prefix := a.String() + ">"
		return func(flow string) bool { return strings.HasPrefix(flow, prefix) }, nil
	}
	a, err := netip.ParseAddr(s)
	if err != nil {
		return nil, usagef("%q is not a caller's address; write one like 100.64.0.7 or 100.64.0.7:40001", s)
	}
	prefix := a.String() + ":"
	return func(flow string) bool { return strings.HasPrefix(flow, prefix) }, nil
}

func readLog(name string) ([]logLine, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, usagef("%v; name a readable file", err)
	}
	defer f.Close()
	lines, err := parseLog(f, filepath.Base(name))
	if err != nil {
		return nil, usagef("%s: %v", name, err)
	}
	return lines, nil
}

// parseLog reads the lines of a log. Text before a line's JSON object, such as the name
// of a VM, becomes part of the source; lines without a JSON object are skipped.
func parseLog(r io.Reader, source string) ([]logLine, error) {
	var lines []logLine
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLogLine)
	for s.Scan() {
		at := bytes.IndexByte(s.Bytes(), '{')
		if at < 0 {
			continue
		}
		l, ok := parseLine(s.Bytes()[at:])
		if !ok {
			continue
		}
		l.Source = strings.TrimSpace(source + " " + strings.TrimSpace(string(s.Bytes()[:at])))
		lines = append(lines, l)
	}
	return lines, s.Err()
}

func parseLine(data []byte) (l logLine, ok bool) {
	var fields map[string]json.RawMessage
	if json.Unmarshal(data, &fields) != nil {
		return l, false
	}
	l.Fields = make(map[string]string, len(fields))
	for _, name := range fieldNames(data) {
		value := fieldText(fields[name])
		switch name {
		case "ts":
			t, err := time.Parse(time.RFC3339Nano, value)
			if err != nil {
				return l, false
			}
			l.At = t
		case "msg":
			l.Msg = value
		case "role":
			l.Role = value
		case "flow":
			l.Flow = value
		case "level":
		default:
			l.Fields[name] = value
			l.fieldOrder = append(l.fieldOrder, name)
		}
	}
	return l, !l.At.IsZero()
}

// fieldNames returns the field names of a JSON object in their order.
func fieldNames(data []byte) []string {
	var names []string
	d := json.NewDecoder(bytes.NewReader(data))
	d.Token() // opening brace; no error, because parseLine has decoded the object
	for d.More() {
		name, err := d.Token()
		if err != nil {
			return names
		}
		var value json.RawMessage
		if d.Decode(&value) != nil {
			return names
		}
		names = append(names, fmt.Sprint(name))
	}
	return names
}

// fieldText returns a JSON string without quotes, and any other value as its JSON text.
func fieldText(raw json.RawMessage) string {
	var s string
	if json.Unmarshal(raw, &s) == nil {
		return s
	}
	return string(raw)
}

// selectTimeline returns the lines of the flows that match, sorted by time. With
// around above 0 it also returns the lines without a flow from around before the first
// match to around after the last.
func selectTimeline(lines []logLine, match func(string) bool, around time.Duration) []logLine {
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.At.Compare(b.At) })
	first, last := -1, -1
	for i := range lines {
		if match(lines[i].Flow) {
			if first < 0 {
				first = i
			}
			last = i
		}
	}
	if first < 0 {
		return nil
	}
	from, to := lines[first].At.Add(-around), lines[last].At.Add(around)
	var timeline []logLine
	for _, l := range lines {
		inWindow := l.Flow == "" && around > 0 && !l.At.Before(from) && !l.At.After(to)
		if match(l.Flow) || inWindow {
			timeline = append(timeline, l)
		}
	}
	return timeline
}

// showTimeline prints the timeline that the flow command has selected.
func (c *cli) showTimeline(timeline []logLine) error {
	if c.output == outJSON {
		return writeJSON(c.out, timeline)
	}
	start := timeline[0].At
	rows := make([]string, len(timeline))
	for i, l := range timeline {
		var fields []string
		for _, name := range l.fieldOrder {
			fields = append(fields, name+"="+l.Fields[name])
		}
		rows[i] = row(fmt.Sprintf("+%.3f s", l.At.Sub(start).Seconds()), l.Source, l.Role, l.Flow, l.Msg, strings.Join(fields, " "))
	}
	fmt.Fprintln(c.out, "from", start.UTC().Format(time.RFC3339Nano))
	return table(c.out, "TIME\tLOG\tROLE\tFLOW\tWHAT\tWITH", rows)
}
