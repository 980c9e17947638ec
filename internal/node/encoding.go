package node

import (
	"errors"
	"fmt"
	"math/bits"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/zstd"

	"github.com/hemlockscale/hemlockscale/internal/store"
)

const (
	// dictionaryID names an earlier value as the dictionary of an encoded one.
	dictionaryID = 1
	// maxDictionaries bounds the earlier values that are kept as dictionaries, each of
	// store.MaxValue at most.
	maxDictionaries = 3
)

// tagOf returns the entity tag of a value: equal data has equal tags in all processes.
func tagOf(data []byte) string { return strconv.Quote(strconv.FormatUint(xxhash.Sum64(data), 16)) }

// encode compresses data. Against a dictionary, a value that the receiver has, little but
// the difference is left.
func encode(data, dictionary []byte) ([]byte, error) {
	options := []zstd.EOption{
		zstd.WithEncoderLevel(zstd.SpeedDefault), zstd.WithEncoderConcurrency(1),
		zstd.WithWindowSize(windowSize(len(dictionary) + len(data))), zstd.WithLowerEncoderMem(true),
	}
	if len(dictionary) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(dictionaryID, dictionary))
	}
	w, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, err
	}
	defer w.Close()
	return w.EncodeAll(data, nil), nil
}

// windowSize returns the encoder's window, a power of two, for values of size bytes together:
// the memory that an encoder takes grows with it.
func windowSize(size int) int {
	return max(zstd.MinWindowSize, 1<<bits.Len(uint(size)))
}

// decode reads what encode wrote. A value over valueLimit is refused.
func decode(encoded, dictionary []byte) ([]byte, error) {
	options := []zstd.DOption{
		zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxValueBytes),
	}
	if len(dictionary) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(dictionaryID, dictionary))
	}
	r, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, err
	}
	defer r.Close()
	return r.DecodeAll(encoded, nil)
}

// ValueDecodeError reports a value of another process that can't be decoded.
type ValueDecodeError struct{ Reason error }

func (e *ValueDecodeError) Error() string {
	return fmt.Sprintf("the value can't be decoded: %v; it is asked for as a whole", e.Reason)
}

func (e *ValueDecodeError) Unwrap() error { return e.Reason }

var errTagMismatch = errors.New("its tag is another than it was sent with")

// encodings is the value that a process serves, in the forms in which it was asked for.
// It is safe for concurrent use.
type encodings struct {
	mu           sync.Mutex
	latest       store.Value
	content      uint64 // number of the latest value's content
	tag          string
	dictionaries []taggedValue     // the newest first
	encoded      map[string][]byte // by the tag of the dictionary, "" for none
}

type taggedValue struct {
	tag  string
	data []byte
}

// set takes the value in place of the one before, which stays as a dictionary.
func (e *encodings) set(v store.Value, content uint64) {
	tag := tagOf(v.Data)
	e.mu.Lock()
	defer e.mu.Unlock()
	if tag != e.tag {
		e.addDictionary(taggedValue{e.tag, e.latest.Data})
		e.encoded = nil
	}
	e.latest, e.content, e.tag = v, content, tag
}

// addDictionary adds an earlier value, with e.mu held.
func (e *encodings) addDictionary(v taggedValue) {
	if v.tag == "" {
		return
	}
	kept := []taggedValue{v}
	for _, other := range e.dictionaries {
		if other.tag != v.tag && len(kept) < maxDictionaries {
			kept = append(kept, other)
		}
	}
	e.dictionaries = kept
}

// value returns the value, the number of its content and its tag, with version 0 if there
// is none.
func (e *encodings) value() (v store.Value, content uint64, tag string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.latest, e.content, e.tag
}

// encodedValue returns the value of a tag encoded for a process that has the one with the tag
// known, and the tag of the dictionary: empty if that value is not kept here. It returns
// nil if the value has been replaced meanwhile.
func (e *encodings) encodedValue(tag, known string) (encoded []byte, dictionary string, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if tag != e.tag {
		return nil, "", nil
	}
	var data []byte
	for _, v := range e.dictionaries {
		if v.tag == known {
			dictionary, data = v.tag, v.data
		}
	}
	if encoded, ok := e.encoded[dictionary]; ok {
		return encoded, dictionary, nil
	}
	if encoded, err = encode(e.latest.Data, data); err != nil {
		return nil, "", err
	}
	if e.encoded == nil {
		e.encoded = make(map[string][]byte)
	}
	e.encoded[dictionary] = encoded
	return encoded, dictionary, nil
}
