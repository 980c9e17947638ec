package catalogue

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/netip"

	"go.yaml.in/yaml/v3"
)

// File is a parsed YAML file of entries.
type File struct {
	// Revision is the revision that the file is based on, 0 if the file names
	// none. An edit with this base is refused if one of its entries has changed
	// since.
	Revision uint64
	Entries  []Entry
}

// ParseError reports YAML that does not match the schema.
type ParseError struct {
	Line int // from 1; 0 if Err names the line or no line is known
	Err  error
}

func (e *ParseError) Error() string {
	if e.Line == 0 {
		return fmt.Sprintf("catalogue: %v; correct the file and check it again", e.Err)
	}
	return fmt.Sprintf("catalogue: line %d: %v", e.Line, e.Err)
}

// Unwrap returns the cause.
func (e *ParseError) Unwrap() error { return e.Err }

type fileDoc struct {
	Revision uint64     `yaml:"revision"`
	Entries  []entryDoc `yaml:"entries"`
}

type entryDoc struct {
	Service   string    `yaml:"service"`
	Owner     string    `yaml:"owner"`
	Addresses []addrDoc `yaml:"addresses"`
	Class     Class     `yaml:"class"`
	Limits    Limits    `yaml:"limits"`
}

// addrDoc is an address that reports its line when it is malformed.
type addrDoc struct{ netip.Addr }

// UnmarshalYAML implements yaml.Unmarshaler.
func (a *addrDoc) UnmarshalYAML(n *yaml.Node) error {
	addr, err := netip.ParseAddr(n.Value)
	if err != nil {
		return &ParseError{n.Line, fmt.Errorf("address %q is malformed; use an IPv4 address such as 10.0.0.1", n.Value)}
	}
	a.Addr = addr
	return nil
}

// Parse parses a YAML document and checks each entry. It returns a *ParseError
// for an unknown or repeated field, a value of the wrong type, an invalid entry
// or a second document.
func Parse(data []byte) (File, error) {
	var doc fileDoc
	dec := yaml.NewDecoder(bytes.NewReader(data))
	dec.KnownFields(true)
	if err := dec.Decode(&doc); err != nil {
		if errors.Is(err, io.EOF) {
			err = errors.New("no document in the file")
		}
		return File{}, asParseError(err)
	}
	if err := dec.Decode(new(yaml.Node)); !errors.Is(err, io.EOF) {
		return File{}, &ParseError{Err: errors.New("more than one YAML document in the file")}
	}
	lines := entryLines(data)
	f := File{Revision: doc.Revision, Entries: make([]Entry, len(doc.Entries))}
	for i, d := range doc.Entries {
		f.Entries[i] = d.entry()
		if err := f.Entries[i].Check(); err != nil {
			return File{}, &ParseError{lines[i], err}
		}
	}
	return f, nil
}

func asParseError(err error) error {
	var p *ParseError
	if errors.As(err, &p) {
		return p
	}
	return &ParseError{Err: err}
}

func (d entryDoc) entry() Entry {
	e := Entry{Service: d.Service, Owner: d.Owner, Class: d.Class, Limits: d.Limits}
	for _, a := range d.Addresses {
		e.Addresses = append(e.Addresses, a.Addr)
	}
	return e
}

// entryLines returns the line number of each entry of a valid document.
func entryLines(data []byte) []int {
	var doc struct {
		Entries []yaml.Node `yaml:"entries"`
	}
	if yaml.Unmarshal(data, &doc) != nil {
		return nil
	}
	lines := make([]int, len(doc.Entries))
	for i, n := range doc.Entries {
		lines[i] = n.Line
	}
	return lines
}

// Format returns f as YAML that Parse accepts.
func Format(f File) ([]byte, error) {
	doc := struct {
		Revision uint64  `yaml:"revision,omitempty"`
		Entries  []Entry `yaml:"entries"`
	}(f)
	return yaml.Marshal(doc)
}
