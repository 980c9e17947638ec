package node

import (
	"net/http"
	"strconv"
	"strings"

	"go.uber.org/zap"
)

const (
	// valuePath is the HTTP path of the value that a process follows.
	valuePath = "/value"
	// versionHeader holds a value's version in the store: in a request that of the value
	// that the client has, in a response that of the value served.
	versionHeader = "Hemlock-Store-Version"
	// contentHeader holds the number of a value's content in the same way.
	contentHeader = "Hemlock-Content"
	// dictionaryHeader holds the entity tag of the value that the body is encoded against.
	dictionaryHeader = "Hemlock-Dictionary"
	// encodingName is the HTTP content coding of encoded values.
	encodingName = "zstd"
)

// ValueHandler serves the value that f follows to other processes. Most processes then need
// not read the store, and a process that starts during an outage of the store need not wait
// for it.
//
// A request holds the version, the content number and the entity tag of the client's value.
// The response is 204 if the server has nothing newer, 304 with the version if it has the
// same value under a newer version, otherwise the value, encoded against the client's value
// if the server keeps that as a dictionary.
func ValueHandler(f *Follower) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+valuePath, f.serveValue)
	return mux
}

func (f *Follower) serveValue(w http.ResponseWriter, r *http.Request) {
	v, content, tag := f.served.value()
	if v.Version == 0 {
		http.Error(w, "nothing known yet", http.StatusServiceUnavailable)
		return
	}
	known, err := headerNumber(r.Header, versionHeader)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	knownContent, err := headerNumber(r.Header, contentHeader)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	h := w.Header()
	h.Set(versionHeader, strconv.FormatUint(v.Version, 10))
	h.Set(contentHeader, strconv.FormatUint(content, 10))
	if v.Version <= known && content <= knownContent {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	h.Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	body := v.Data
	if strings.Contains(r.Header.Get("Accept-Encoding"), encodingName) {
		body = f.encodedFor(h, tag, r.Header.Get("If-None-Match"), body)
	}
	h.Set("Content-Type", "application/octet-stream")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if _, err := w.Write(body); err != nil {
		f.Log.Info("value not completely sent to another process", zap.String("key", f.Source.Name()), zap.Int("bytes", len(body)), zap.Error(err))
	}
}

// encodedFor returns the body for a client that has the value with the tag known, and sets
// the encoding headers in h. It returns data itself if the value can't be encoded.
func (f *Follower) encodedFor(h http.Header, tag, known string, data []byte) []byte {
	encoded, dictionary, err := f.served.encodedValue(tag, known)
	if err != nil {
		f.Log.Error("value can't be compressed; sending it uncompressed", zap.String("key", f.Source.Name()), zap.Error(err))
	}
	if encoded == nil {
		return data
	}
	h.Set("Content-Encoding", encodingName)
	if dictionary != "" {
		h.Set(dictionaryHeader, dictionary)
	}
	return encoded
}

// headerNumber parses the number in a header. It returns 0 if the header is missing.
func headerNumber(h http.Header, name string) (uint64, error) {
	text := h.Get(name)
	if text == "" {
		return 0, nil
	}
	return strconv.ParseUint(text, 10, 64)
}
