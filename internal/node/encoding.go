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
	// dictionaryID is the zstd dictionary ID of an earlier value that a value is encoded against.
	dictionaryID = 1
	// maxDictionaries bounds the earlier values that are kept as dictionaries, each with at
	// most store.MaxValue bytes.
	maxDictionaries = 3
)

// tagOf returns the entity tag of a value. Equal data has the same tag in all processes.
func tagOf(data []byte) string { return strconv.Quote(strconv.FormatUint(xxhash.Sum64(data), 16)) }

// encode compresses data. With a dictionary, a value that the receiver has, the result holds
// little more than the difference.
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

// windowSize returns the encoder's window in bytes, a power of two, for dictionary and value
// of size bytes together. The encoder's memory grows with it, so it is no larger than needed.
func windowSize(size int) int {
	return max(zstd.MinWindowSize, 1<<bits.Len(uint(size)))
}

// decode reverses encode. It returns an error for a value over maxValueBytes.
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

// ValueDecodeError reports a value from another process that can't be decoded.
type ValueDecodeError struct{ Reason error }

func (e *ValueDecodeError) Error() string {
	return fmt.Sprintf("value can't be decoded: %v; the next request asks for the full value", e.Reason)
}

func (e *ValueDecodeError) Unwrap() error { return e.Reason }

var errTagMismatch = errors.New("entity tag of the decoded value differs from the ETag header")

// encodings is the value that a process serves, with the encoded forms that have been
// requested. It is safe for concurrent use.
type encodings struct {
	mu           sync.Mutex
	latest       store.Value
	content      uint64 // number of the latest value's content
	tag          string
	dictionaries []taggedValue     // earlier values, the newest first
	encoded      map[string][]byte // latest encoded, by the tag of the dictionary; "" for none
}

type taggedValue struct {
	tag  string
	data []byte
}

// set replaces the latest value. The previous one is kept as a dictionary.
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

// addDictionary keeps an earlier value as a dictionary. e.mu is held.
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

// value returns the latest value, its content number and its tag. The version is 0 if there
// is no value.
func (e *encodings) value() (v store.Value, content uint64, tag string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.latest, e.content, e.tag
}

// encodedValue returns the value with the given tag, encoded for a process that has the
// value with the tag known, and the tag of the dictionary, which is empty if that value is
// not kept here. encoded is nil if the value has been replaced in the meantime.
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
