package catalogue

import (
	"errors"
	"net/netip"
	"testing"
)

func TestApplyRefusesOtherThanSuccessor(t *testing.T) {
	w, fork := newWriter(), newWriter()
	changes := w.edit(3, 3)
	fork.nextEntry = 7
	other := fork.edit(3, 10)
	c := New()
	if err := c.Apply(changes[0]); err != nil {
		t.Fatal(err)
	}
	damaged := changes[1]
	damaged.Entry.Limits.Slots++
	tests := []struct {
		name string
		ch   Change
		want any
	}{
		{"again", changes[0], new(*GapError)},
		{"gap", changes[2], new(*GapError)},
		{"diverged history", other[1], new(*ChecksumError)},
		{"damaged", damaged, new(*ChecksumError)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			before := c.Digest()
			if err := c.Apply(tt.ch); !errors.As(err, tt.want) {
				t.Fatalf("got %v", err)
			}
			if c.Digest() != before {
				t.Fatal("a refused change modified the state")
			}
		})
	}
	if err := c.Apply(changes[1]); err != nil {
		t.Fatal(err)
	}
}

func TestTableFindsAllAndNothingElse(t *testing.T) {
	for n := range 70 {
		c := New()
		for i := range n {
			c.put(Entry{Service: serviceName(i), Number: uint32(i + 1), Addresses: []netip.Addr{nodeAddr(i * 7).Addr()}})
		}
		table := c.Table()
		for i := range 7 * n {
			want := uint32(0)
			if i%7 == 0 {
				want = uint32(i/7 + 1)
			}
			if got := table.NumberOf(nodeAddr(i).Addr()); got != want {
				t.Fatalf("address %d, table of %d: service number %d, want %d", i, n, got, want)
			}
		}
	}
	var none *Table
	if none.Number([4]byte{1}) != 0 || new(Table).Number([4]byte{1}) != 0 {
		t.Fatal("an empty table returned a service number")
	}
}
