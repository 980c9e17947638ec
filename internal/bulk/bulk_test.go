package bulk

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/netip"
	"testing"
	"time"

	"go.uber.org/goleak"
	"golang.org/x/time/rate"

	"github.com/hemlockscale/hemlockscale/internal/fleetkey"
	"github.com/hemlockscale/hemlockscale/internal/transfer"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	keyOne = "1:000102030405060708090a0b0c0d0e0f"
	keyTwo = "2:101112131415161718191a1b1c1d1e1f"
)

func listen(t *testing.T, keys string, h Handler) *Endpoint {
	t.Helper()
	ring, err := fleetkey.Parse(keys)
	if err != nil {
		t.Fatal(err)
	}
	p, err := Listen(ring, netip.MustParseAddrPort("127.0.0.1:0"), h)
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- p.Serve() }()
	t.Cleanup(func() {
		p.Close()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return p
}

func (p *Endpoint) local() netip.AddrPort {
	return netip.MustParseAddrPort(p.socket.LocalAddr().String())
}

// echo responds with the request repeated 100,000 times.
func echo(_ context.Context, kind Kind, request []byte, w io.Writer) error {
	_, err := w.Write(bytes.Repeat(append([]byte{byte(kind)}, request...), 100_000))
	return err
}

func fetch(p, from *Endpoint) (answer []byte, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	err = p.Fetch(ctx, from.local(), KindMemberList, []byte("abc"), func(r io.Reader) (err error) {
		answer, err = io.ReadAll(r)
		return err
	})
	return answer, err
}

func TestFetchBetweenRotatedKeys(t *testing.T) {
	old := listen(t, keyOne+","+keyTwo, echo)
	fresh := listen(t, keyTwo+","+keyOne, echo)
	got, err := fetch(fresh, old)
	if err != nil {
		t.Fatal(err)
	}
	if want := bytes.Repeat([]byte("\x02abc"), 100_000); !bytes.Equal(got, want) {
		t.Errorf("got %d bytes, want %d", len(got), len(want))
	}
}

// TestPeerWithoutFleetKeyIsRefused guards against a process outside the fleet that
// reads the catalogue and the member list, by connecting to the bulk port with a
// certificate that is not derived from a fleet key.
func TestPeerWithoutFleetKeyIsRefused(t *testing.T) {
	served := listen(t, keyOne, echo)
	peer := listen(t, keyTwo, echo)
	if got, err := fetch(peer, served); err == nil {
		t.Fatalf("a peer without fleet key got %d bytes", len(got))
	}
}

// testLimits are short, so that a transfer soon takes longer than they allow.
var testLimits = transfer.Limits{ResponseTimeout: 300 * time.Millisecond, ProgressTimeout: 300 * time.Millisecond}

// Guards against a process that can never fetch a catalogue because its link does not
// transfer it within a fixed total time.
func TestLongTransferEnds(t *testing.T) {
	const part, parts, partsPerS = 64 << 10, 20, 20
	pace := rate.NewLimiter(partsPerS, 1)
	slow := listen(t, keyOne, func(ctx context.Context, _ Kind, _ []byte, w io.Writer) error {
		for range parts {
			if err := pace.Wait(ctx); err != nil {
				return err
			}
			if _, err := w.Write(make([]byte, part)); err != nil {
				return err
			}
		}
		return nil
	})
	client := listen(t, keyOne, echo)
	client.limits = testLimits
	if got, err := fetch(client, slow); err != nil || len(got) != part*parts {
		t.Fatalf("got %d bytes, error %v", len(got), err)
	}
}

// Guards against a client that is blocked because the server stops in the middle of its
// response.
func TestStalledTransferIsAborted(t *testing.T) {
	stalled := listen(t, keyOne, func(ctx context.Context, _ Kind, _ []byte, w io.Writer) error {
		if _, err := w.Write(make([]byte, 64<<10)); err != nil {
			return err
		}
		<-ctx.Done()
		return ctx.Err()
	})
	client := listen(t, keyOne, echo)
	client.limits = testLimits
	start := time.Now()
	_, err := fetch(client, stalled)
	var stall *transfer.StalledError
	if !errors.As(err, &stall) || time.Since(start) > 3*time.Second {
		t.Fatalf("after %v: %v", time.Since(start), err)
	}
}
