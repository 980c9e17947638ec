package transfer

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"
)

var limits = Limits{ResponseTimeout: 50 * time.Millisecond, ProgressTimeout: 100 * time.Millisecond}

// trickle writes chunks of size bytes to w at the given interval, and then stops without
// closing w.
func trickle(w io.Writer, chunks, size int, every time.Duration) {
	ticks := time.NewTicker(every)
	defer ticks.Stop()
	for range chunks {
		<-ticks.C
		if _, err := w.Write(make([]byte, size)); err != nil {
			return
		}
	}
}

// read reads a body until it ends or the exchange stalls.
func read(ctx context.Context, body io.Reader, pipe *io.PipeReader) (int, error) {
	stop := context.AfterFunc(ctx, func() { pipe.CloseWithError(ctx.Err()) })
	defer stop()
	data, err := io.ReadAll(body)
	return len(data), Err(ctx, err)
}

// A slow transfer that makes progress is not aborted.
func TestSlowTransferEnds(t *testing.T) {
	ctx, e := Begin(context.Background(), limits)
	defer e.End()
	r, w := io.Pipe()
	const chunks = 20
	go func() {
		trickle(w, chunks, minProgress, 20*time.Millisecond)
		w.Close()
	}()
	got, err := read(ctx, e.Body(r, chunks*minProgress), r)
	if err != nil || got != chunks*minProgress {
		t.Fatalf("got %d bytes, error %v", got, err)
	}
}

// A peer that stops sending, or sends single bytes, does not block its reader.
func TestStalledTransferIsAborted(t *testing.T) {
	for _, c := range []struct {
		name         string
		chunks, size int
		every        time.Duration
	}{
		{"nothing", 0, 0, time.Millisecond},
		{"a part and no more", 3, minProgress, time.Millisecond},
		{"a byte now and then", 1000, 1, 5 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			ctx, e := Begin(context.Background(), limits)
			defer e.End()
			r, w := io.Pipe()
			defer r.Close()
			go trickle(w, c.chunks, c.size, c.every)
			_, err := read(ctx, e.Body(r, 1<<20), r)
			var stalled *StalledError
			if !errors.As(err, &stalled) || stalled.StalledFor != limits.ProgressTimeout || stalled.Size != 1<<20 {
				t.Fatalf("%v", err)
			}
		})
	}
}

// An exchange whose response does not begin is aborted.
func TestMissingResponseIsAborted(t *testing.T) {
	ctx, e := Begin(context.Background(), limits)
	defer e.End()
	<-ctx.Done()
	var stalled *StalledError
	if !errors.As(Err(ctx, ctx.Err()), &stalled) || stalled.StalledFor != limits.ResponseTimeout || stalled.Size != -1 {
		t.Fatalf("%v", context.Cause(ctx))
	}
}

// An exchange that is cancelled is not reported as stalled.
func TestCancelledExchangeHasNotStalled(t *testing.T) {
	parent, cancel := context.WithCancel(context.Background())
	ctx, e := Begin(parent, limits)
	defer e.End()
	cancel()
	<-ctx.Done()
	if err := Err(ctx, ctx.Err()); !errors.Is(err, context.Canceled) {
		t.Fatalf("%v", err)
	}
}

// fillingReader returns only after it has filled the buffer.
type fillingReader struct{ r io.Reader }

func (f fillingReader) Read(p []byte) (int, error) { return io.ReadFull(f.r, p) }

// Guards against aborting a transfer that makes progress, because the underlying reader
// returns only after it has filled a large buffer.
func TestReaderThatFillsItsBufferShowsProgress(t *testing.T) {
	ctx, e := Begin(context.Background(), limits)
	defer e.End()
	r, w := io.Pipe()
	const chunks = 20
	go trickle(w, chunks, minProgress, 20*time.Millisecond)
	data := make([]byte, chunks*minProgress)
	stop := context.AfterFunc(ctx, func() { r.CloseWithError(ctx.Err()) })
	defer stop()
	if _, err := io.ReadFull(e.Body(fillingReader{r}, -1), data); err != nil {
		t.Fatal(Err(ctx, err))
	}
}
