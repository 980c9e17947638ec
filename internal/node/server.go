package node

import (
	"net/http"
	"strconv"
	"strings"

	"go.uber.org/zap"
)

const (
	// valuePath is where a process serves the value that it follows.
	valuePath = "/value"
	// versionHeader carries the value's version in the store: in a question that of the
	// value which the asker has.
	versionHeader = "Hemlock-Store-Version"
	// contentHeader carries the number of the value's content in the same way.
	contentHeader = "Hemlock-Content"
	// dictionaryHeader carries the tag of the value that the body is encoded against.
	dictionaryHeader = "Hemlock-Dictionary"
	// encodingName is the encoding's name in HTTP.
	encodingName = "zstd"
)

// ValueHandler serves the value that f follows to other processes, so that most of them need
// not ask the store, and one which starts while the store is away need not wait for it.
//
// A question tells the version, the content's number and the tag of the value that the
// asker has. The answer is
// 204 if there is nothing newer here, 304 with the version if it is the same value under a
// newer one, and else the value, encoded against the asker's if that is kept here.
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
		f.Log.Info("value not sent whole", zap.String("key", f.Source.Name()), zap.Int("bytes", len(body)), zap.Error(err))
	}
}

// encodedFor returns the body for an asker that has the value with the tag known, and
// tells its encoding in h. It is data itself if that can't be encoded.
func (f *Follower) encodedFor(h http.Header, tag, known string, data []byte) []byte {
	encoded, dictionary, err := f.served.encodedValue(tag, known)
	if err != nil {
		f.Log.Error("value can't be encoded", zap.String("key", f.Source.Name()), zap.Error(err))
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

// headerNumber reads the number in a header, 0 if it is not there.
func headerNumber(h http.Header, name string) (uint64, error) {
	text := h.Get(name)
	if text == "" {
		return 0, nil
	}
	return strconv.ParseUint(text, 10, 64)
}
