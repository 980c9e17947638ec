package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"pgregory.net/rapid"

	"github.com/hemlockscale/hemlockscale/internal/standin/platform"
	"github.com/hemlockscale/hemlockscale/internal/store"
)

// startServer starts a process that serves values over link, and returns its follower.
func startServer(t testing.TB, link *platform.Link) (*Follower, netip.AddrPort) {
	t.Helper()
	f := &Follower{Source: &OrdersSource{Keys: testKeys}, Changed: func(store.Value) bool { return true }, Log: zap.NewNop()}
	return f, listen(t, link, ValueHandler(f))
}

// listen starts an HTTP server, over link if that is not nil, and returns its address.
func listen(t testing.TB, link *platform.Link, h http.Handler) netip.AddrPort {
	t.Helper()
	s := httptest.NewUnstartedServer(h)
	if link != nil {
		s.Listener = link.Listen(s.Listener)
	}
	s.Start()
	t.Cleanup(s.Close)
	return netip.MustParseAddrPort(s.Listener.Addr().String())
}

// incompressible returns n pseudo-random bytes, which do not compress.
func incompressible(n int) []byte {
	data := make([]byte, n)
	rand.NewChaCha8([32]byte{1}).Read(data)
	return data
}

func fetch(t testing.TB, c *ValueClient, known store.Value, processes ...netip.AddrPort) ReceivedValue {
	t.Helper()
	v, err := c.Fetch(context.Background(), processes, known)
	if err != nil {
		t.Fatal(err)
	}
	return v
}

// Guards against a large value that is requested again and again because a slow link can't
// transfer it within a fixed time.
func TestLargeValueArrivesOverSlowLink(t *testing.T) {
	f, addr := startServer(t, platform.NewLink(800_000))
	f.take(store.Value{Data: incompressible(store.MaxValue), Version: 7})
	begun := time.Now()
	v := fetch(t, NewValueClient(), store.Value{}, addr)
	if len(v.Data) != store.MaxValue || v.Version != 7 {
		t.Fatalf("%d bytes of version %d", len(v.Data), v.Version)
	}
	t.Logf("%d bytes took %v", v.Bytes, time.Since(begun))
}

// Guards against three complete values on the client's link where one is needed.
func TestOneOfSeveralResponsesIsRead(t *testing.T) {
	link := platform.NewLink(1_000_000)
	var processes []netip.AddrPort
	for range MaxParallelRequests {
		f, addr := startServer(t, link)
		f.take(store.Value{Data: incompressible(store.MaxValue), Version: 7})
		processes = append(processes, addr)
	}
	begun := time.Now()
	fetch(t, NewValueClient(), store.Value{}, processes...)
	if took := time.Since(begun); took > 2*time.Second {
		t.Errorf("took %v, want the time of one response, a second", took)
	}
}

// Guards against the whole fleet transferring a large value again because a recently started
// process has read the same value from the store under a newer version.
func TestSameValueUnderNewerVersionIsNotSent(t *testing.T) {
	f, addr := startServer(t, nil)
	data := incompressible(1 << 16)
	f.take(store.Value{Data: data, Version: 65})
	known := store.Value{Data: data, Version: 61}
	v := fetch(t, NewValueClient(), known, addr)
	if v.Version != 65 || v.Bytes != 0 || string(v.Data) != string(data) {
		t.Fatalf("received version %d with %d bytes sent, want version 65 without any", v.Version, v.Bytes)
	}
}

// Guards against responses with a body when the client's value is the same or newer.
func TestProcessWithNothingNewerSendsNothing(t *testing.T) {
	f, addr := startServer(t, nil)
	f.take(store.Value{Data: incompressible(1 << 16), Version: 61})
	for _, known := range []store.Value{{Data: []byte("newer"), Version: 65}, {Data: []byte("other"), Version: 61}} {
		_, err := NewValueClient().Fetch(context.Background(), []netip.AddrPort{addr}, known)
		var notNewer *NotNewerError
		if !errors.As(err, &notNewer) || notNewer.Version != 61 {
			t.Fatalf("request with version %d: %v, want *NotNewerError", known.Version, err)
		}
	}
}

// Guards against sending a whole large value for a small change of it.
func TestChangeIsSentAsDifference(t *testing.T) {
	f, addr := startServer(t, nil)
	before := store.Value{Data: incompressible(1 << 19), Version: 1}
	after := store.Value{Data: append([]byte("change"), before.Data...), Version: 2}
	f.take(before)
	f.take(after)
	v := fetch(t, NewValueClient(), before, addr)
	if string(v.Data) != string(after.Data) || v.Bytes > 1<<10 {
		t.Fatalf("%d bytes sent for a changed value of %d bytes", v.Bytes, len(after.Data))
	}
}

// Checks that a client receives the newest value, whichever values the server had before and
// whichever value the client has.
func TestEveryClientReceivesTheNewestValue(t *testing.T) {
	f, addr := startServer(t, nil)
	version := uint64(0)
	values := []store.Value{{}}
	rapid.Check(t, func(rt *rapid.T) {
		for range rapid.IntRange(1, 6).Draw(rt, "values") {
			version++
			line := rapid.StringN(0, 40, -1).Draw(rt, "line")
			data := []byte(strings.Repeat(line, rapid.IntRange(0, 300).Draw(rt, "repeats")))
			values = append(values, store.Value{Data: data, Version: version})
			f.take(values[len(values)-1])
		}
		newest := values[len(values)-1]
		known := values[rapid.IntRange(0, len(values)-2).Draw(rt, "known")]
		v, err := NewValueClient().Fetch(context.Background(), []netip.AddrPort{addr}, known)
		if err != nil || v.Version != newest.Version || string(v.Data) != string(newest.Data) {
			rt.Fatalf("request with version %d: received version %d, %d bytes, %v", known.Version, v.Version, len(v.Data), err)
		}
	})
}

// Guards against a process that never receives a value again once a value encoded against its
// own one could not be decoded.
func TestFullValueIsFetchedAfterDecodeError(t *testing.T) {
	f, _ := startServer(t, nil)
	f.take(store.Value{Data: []byte("before"), Version: 1})
	f.take(store.Value{Data: []byte("after"), Version: 2})
	damagingServer := listen(t, nil, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("If-None-Match") != "" {
			w.Header().Set("ETag", `"0"`)
			w.Header().Set(versionHeader, "2")
			w.Header().Set("Content-Encoding", encodingName)
			w.Header().Set(dictionaryHeader, "x")
			w.Write([]byte("damaged"))
			return
		}
		f.serveValue(w, r)
	}))
	c := NewValueClient()
	known := store.Value{Data: []byte("before"), Version: 1}
	var damaged *ValueDecodeError
	if _, err := c.Fetch(context.Background(), []netip.AddrPort{damagingServer}, known); !errors.As(err, &damaged) {
		t.Fatalf("fetch of a damaged value: %v, want *ValueDecodeError", err)
	}
	if v := fetch(t, c, known, damagingServer); string(v.Data) != "after" {
		t.Fatalf("received %q after a decode error, want the full value", v.Data)
	}
}

// Checks the exchange with processes of an earlier program version, which send the value
// without encoding to every client, and send requests without the headers of their value.
func TestValueOfAnEarlierVersionOfTheProgram(t *testing.T) {
	plain := listen(t, nil, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(versionHeader, strconv.Itoa(3))
		w.Write([]byte("plain"))
	}))
	if v := fetch(t, NewValueClient(), store.Value{Data: []byte("x"), Version: 2}, plain); string(v.Data) != "plain" {
		t.Errorf("received %q from an earlier program version", v.Data)
	}
	f, addr := startServer(t, nil)
	f.take(store.Value{Data: []byte("plain"), Version: 3})
	resp, err := http.Get("http://" + addr.String() + valuePath)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.Header.Get("Content-Encoding") != "" || resp.ContentLength != 5 {
		t.Errorf("response has encoding %q and %d bytes, want the plain value of 5 bytes", resp.Header.Get("Content-Encoding"), resp.ContentLength)
	}
}

// Guards against a fleet on saturated links in which no request gets a response in time.
func TestResponseTimeoutGrowsWithUnansweredRequests(t *testing.T) {
	const delay = 2 * responseTimeout
	slow := listen(t, nil, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(delay):
		case <-r.Context().Done():
		}
		w.Header().Set(versionHeader, "1")
		w.Write([]byte("late"))
	}))
	c := NewValueClient()
	for range maxTimeoutDoublings + 1 {
		if _, err := c.Fetch(context.Background(), []netip.AddrPort{slow}, store.Value{}); err == nil {
			return
		}
	}
	t.Errorf("no response that begins %v after its request is accepted", delay)
}

// Checks that a process that does not respond does not delay the others' responses.
func TestUnresponsiveProcessDoesNotDelayOthers(t *testing.T) {
	unresponsive, err := net.Listen("tcp4", "127.0.0.1:0") // accepts connections and never responds
	if err != nil {
		t.Fatal(err)
	}
	defer unresponsive.Close()
	f, addr := startServer(t, nil)
	f.take(store.Value{Data: []byte("x"), Version: 1})
	begun := time.Now()
	fetch(t, NewValueClient(), store.Value{}, netip.MustParseAddrPort(unresponsive.Addr().String()), addr)
	if took := time.Since(begun); took > responseTimeout {
		t.Errorf("fetch took %v, want less than the response timeout", took)
	}
}

// Guards against a newer configuration that no process accepts, because its version is the
// same as or lower than that of an older configuration which the client has read from a store
// that was restored from an older copy.
func TestNewerContentIsSentUnderALowerVersion(t *testing.T) {
	orders := func(configuration string) []byte {
		o := Orders{Configuration: []byte(configuration)}
		return o.Encode()
	}
	f, addr := startServer(t, nil)
	kept := store.Value{Data: orders("6"), Version: store.VersionAt(1, 107)}
	f.take(kept)
	for _, revision := range []uint64{106, 107, 112} {
		c := NewValueClient()
		c.ContentNumber = f.Source.ContentNumber
		known := store.Value{Data: orders("3"), Version: store.VersionAt(1, revision)}
		v, err := c.Fetch(context.Background(), []netip.AddrPort{addr}, known)
		if err != nil || string(v.Data) != string(kept.Data) {
			t.Errorf("request with revision %d: received %q, %v", revision, v.Data, err)
		}
	}
}

// Guards against a process that does not stop: it is closed while it fetches a value, and the
// fetch waits for the responses of requests that were cancelled.
func TestCancelledFetchEnds(t *testing.T) {
	const tries, limit = 20, 5 * time.Second
	silent := make(chan struct{})
	t.Cleanup(func() { close(silent) })
	arrived := make(chan struct{}, tries*MaxParallelRequests)
	var processes []netip.AddrPort
	for range MaxParallelRequests {
		processes = append(processes, listen(t, nil, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			arrived <- struct{}{}
			select {
			case <-silent:
			case <-r.Context().Done():
			}
		})))
	}
	for range tries {
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() {
			_, err := NewValueClient().Fetch(ctx, slices.Clone(processes), store.Value{})
			ended <- err
		}()
		for range MaxParallelRequests {
			select {
			case <-arrived:
			case <-time.After(limit):
				t.Fatalf("a request did not arrive within %v", limit)
			}
		}
		cancel()
		select {
		case err := <-ended:
			if err == nil {
				t.Error("a cancelled fetch returned a value")
			}
		case <-time.After(limit):
			t.Fatalf("the fetch still runs %v after it was cancelled", limit)
		}
	}
}
