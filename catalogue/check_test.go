package catalogue

import (
	"errors"
	"net/netip"
	"strings"
	"testing"
	"time"
)

func entry(service, owner string, addrs ...string) Entry {
	e := Entry{Service: service, Owner: owner, Class: ClassStream}
	for _, a := range addrs {
		e.Addresses = append(e.Addresses, netip.MustParseAddr(a))
	}
	return e
}

func TestCheckNamesFieldAndRemedy(t *testing.T) {
	tests := []struct {
		name  string
		edit  func(*Entry)
		field string
	}{
		{"good", func(*Entry) {}, ""},
		{"no service", func(e *Entry) { e.Service = "" }, "service"},
		{"upper case", func(e *Entry) { e.Service = "Listing" }, "service"},
		{"long owner", func(e *Entry) { e.Owner = strings.Repeat("a", MaxName+1) }, "owner"},
		{"no address", func(e *Entry) { e.Addresses = nil }, "addresses"},
		{"IPv6", func(e *Entry) { e.Addresses[0] = netip.MustParseAddr("::1") }, "addresses"},
		{"mapped", func(e *Entry) { e.Addresses[0] = netip.MustParseAddr("::ffff:10.0.0.1") }, "addresses"},
		{"multicast", func(e *Entry) { e.Addresses[0] = netip.MustParseAddr("224.0.0.1") }, "addresses"},
		{"repeated", func(e *Entry) { e.Addresses = append(e.Addresses, e.Addresses[0]) }, "addresses"},
		{"class", func(e *Entry) { e.Class = "bulk" }, "class"},
		{"slots", func(e *Entry) { e.Limits.Slots = -1 }, "limits.slots"},
		{"rate", func(e *Entry) { e.Limits.Rate = MaxRate + 1 }, "limits.rate"},
		{"deadline", func(e *Entry) { e.Limits.Deadline = time.Microsecond }, "limits.deadline"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := entry("listing", "kanatpar", "10.0.0.1")
			tt.edit(&e)
			err := e.Check()
			var f *FieldError
			if tt.field == "" {
				if err != nil {
					t.Fatal(err)
				}
				return
			}
			if !errors.As(err, &f) || f.Field != tt.field || f.Remedy == "" {
				t.Fatalf("got %v, want a FieldError of %s with a remedy", err, tt.field)
			}
		})
	}
}

const goodYAML = `revision: 7
entries:
  - service: listing
    owner: kanatpar
    addresses: [10.0.0.1, 10.0.0.2]
    class: stream
    limits: {connections: 100, slots: 5, deadline: 2s}
`

func TestParseRoundTrip(t *testing.T) {
	f, err := Parse([]byte(goodYAML))
	if err != nil {
		t.Fatal(err)
	}
	if f.Revision != 7 || len(f.Entries) != 1 || f.Entries[0].Limits.Deadline != 2*time.Second {
		t.Fatalf("got %+v", f)
	}
	out, err := Format(f)
	if err != nil {
		t.Fatal(err)
	}
	again, err := Parse(out)
	if err != nil || !again.Entries[0].sameContent(f.Entries[0]) || again.Revision != 7 {
		t.Fatalf("%v: %s", err, out)
	}
}

func TestParseRefusesWithLine(t *testing.T) {
	tests := []struct{ name, old, new, want string }{
		{"unknown field", "class: stream", "class: stream\n    colour: red", "line 7: field colour"},
		{"repeated field", "class: stream", "class: stream\n    class: stream", "line 7"},
		{"address", "10.0.0.2", "10.0.0", "line 5: address"},
		{"type", "slots: 5", "slots: many", "line 7"},
		{"number as deadline", "deadline: 2s", "deadline: 2", "line 7"},
		{"rule", "class: stream", "class: fast", "line 3: "},
		{"second document", "class: stream", "class: stream\n---\nentries: []", "more than one"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			text := strings.Replace(goodYAML, tt.old, tt.new, 1)
			if tt.name == "second document" {
				text = goodYAML + "---\nentries: []\n"
			}
			_, err := Parse([]byte(text))
			var p *ParseError
			if !errors.As(err, &p) || !strings.Contains(err.Error(), tt.want) {
				t.Fatalf("got %v, want %q", err, tt.want)
			}
		})
	}
}
