package daemon

import (
	"context"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/hemlockscale/hemlockscale/internal/earlysignal/stop"
	"github.com/hemlockscale/hemlockscale/internal/tracing"
)

// part is a Part that does nothing until it is closed.
type part struct {
	end     chan struct{}
	drained bool
}

func (p *part) Run() error {
	<-p.end
	return nil
}

func (p *part) Drain(context.Context) { p.drained = true }

func (p *part) Close() { close(p.end) }

// Guards against a planned stop that looks like a crash: SIGTERM arrives between the
// start of the program and Run, and kills the process because no handler is registered yet.
func TestStopSignalBeforeRun(t *testing.T) {
	if err := syscall.Kill(syscall.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	d, err := New(Config{Role: "test", Level: "error", Trace: tracing.Config{Exporter: tracing.Off}, Admin: netip.MustParseAddrPort("127.0.0.1:0"), StopSignals: stop.Signals})
	if err != nil {
		t.Fatal(err)
	}
	p := &part{end: make(chan struct{})}
	ended := make(chan error, 1)
	go func() { ended <- d.Run(p, time.Second) }()
	select {
	case err := <-ended:
		if err != nil || !p.drained {
			t.Errorf("Run returned %v, drained: %v", err, p.drained)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("Run did not return: the signal was lost")
	}
}
