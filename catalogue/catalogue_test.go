package catalogue

import (
	"errors"
	"testing"
)

func TestApplyRefusesOtherThanSuccessor(t *testing.T) {
	w, fork := newWriter(), newWriter()
	changes := w.edit(3, 3)
	fork.n = 7
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
		{"other chain", other[1], new(*ChecksumError)},
		{"damaged", damaged, new(*ChecksumError)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			before := c.Digest()
			if err := c.Apply(tt.ch); !errors.As(err, tt.want) {
				t.Fatalf("got %v", err)
			}
			if c.Digest() != before {
				t.Fatal("a refused change moved the state")
			}
		})
	}
	if err := c.Apply(changes[1]); err != nil {
		t.Fatal(err)
	}
}
