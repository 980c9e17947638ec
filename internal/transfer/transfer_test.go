package transfer

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"
)

var limits = Limits{Answer: 50 * time.Millisecond, Step: 100 * time.Millisecond}

// trickle writes a chunk of size bytes to w with each tick, and then holds still.
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

// A long transfer that goes on is not given up.
func TestSlowTransferEnds(t *testing.T) {
	ctx, e := Begin(context.Background(), limits)
	defer e.End()
	r, w := io.Pipe()
	const chunks = 20
	go func() {
		trickle(w, chunks, stepSize, 20*time.Millisecond)
		w.Close()
	}()
	got, err := read(ctx, e.Body(r, chunks*stepSize), r)
	if err != nil || got != chunks*stepSize {
		t.Fatalf("%d bytes, %v", got, err)
	}
}

// A peer that stops, or sends a byte now and then, does not hold its reader.
func TestStalledTransferIsGivenUp(t *testing.T) {
	for _, c := range []struct {
		name         string
		chunks, size int
		every        time.Duration
	}{
		{"nothing", 0, 0, time.Millisecond},
		{"a part and no more", 3, stepSize, time.Millisecond},
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
			if !errors.As(err, &stalled) || stalled.After != limits.Step || stalled.Size != 1<<20 {
				t.Fatalf("%v", err)
			}
		})
	}
}

// An answer that does not begin is given up.
func TestMissingAnswerIsGivenUp(t *testing.T) {
	ctx, e := Begin(context.Background(), limits)
	defer e.End()
	<-ctx.Done()
	var stalled *StalledError
	if !errors.As(Err(ctx, ctx.Err()), &stalled) || stalled.After != limits.Answer || stalled.Size != -1 {
		t.Fatalf("%v", context.Cause(ctx))
	}
}

// An exchange that its caller ends has not stalled.
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

// fillingReader returns only once it has filled what it reads into.
type fillingReader struct{ r io.Reader }

func (f fillingReader) Read(p []byte) (int, error) { return io.ReadFull(f.r, p) }

// Guards against a transfer that goes on and is given up, since its reader returns late.
func TestReaderThatFillsItsBufferShowsProgress(t *testing.T) {
	ctx, e := Begin(context.Background(), limits)
	defer e.End()
	r, w := io.Pipe()
	const chunks = 20
	go trickle(w, chunks, stepSize, 20*time.Millisecond)
	data := make([]byte, chunks*stepSize)
	stop := context.AfterFunc(ctx, func() { r.CloseWithError(ctx.Err()) })
	defer stop()
	if _, err := io.ReadFull(e.Body(fillingReader{r}, -1), data); err != nil {
		t.Fatal(Err(ctx, err))
	}
}
