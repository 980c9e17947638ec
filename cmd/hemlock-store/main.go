// Command hemlock-store runs a stand-in for the platform's key-value service, for
// trials on one machine. It keeps values in memory only.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/oklog/run"
	"github.com/peterbourgon/ff/v3"
	"go.uber.org/zap"

	"github.com/hemlockscale/hemlockscale/internal/standin/store"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

// shutdownTimeout is how long a graceful stop waits for calls in progress.
const shutdownTimeout = 2 * time.Second

func main() {
	cfg, listen, err := settings(os.Args[1:])
	switch {
	case errors.Is(err, flag.ErrHelp):
		return
	case err != nil:
		fmt.Fprintln(os.Stderr, "hemlock-store:", err)
		os.Exit(exitUsage)
	}
	if err := serve(cfg, listen); err != nil {
		fmt.Fprintln(os.Stderr, "hemlock-store:", err)
		os.Exit(exitFailed)
	}
}

func settings(args []string) (store.Config, string, error) {
	var cfg store.Config
	fs := flag.NewFlagSet("hemlock-store", flag.ContinueOnError)
	fs.SetOutput(io.Discard) // main prints the error in one line
	showVersion := fs.Bool("version", false, "print the version and exit")
	listen := fs.String("listen", "127.0.0.1:7000", "TCP address to serve on")
	fs.IntVar(&cfg.ReadRate, "reads", store.DefaultReadRate, "reads a second, watches included")
	fs.IntVar(&cfg.WriteRate, "writes", store.DefaultWriteRate, "writes a second, lease calls included")
	fs.DurationVar(&cfg.WatchWait, "watch-wait", store.DefaultWatchWait, "how long a watch waits for a newer version")
	err := ff.Parse(fs, args, ff.WithEnvVarPrefix("HEMLOCK_STORE"))
	switch {
	case errors.Is(err, flag.ErrHelp):
		fmt.Println("hemlock-store [flags]; each flag may be set as HEMLOCK_STORE_ and its name in capitals")
		fs.SetOutput(os.Stdout)
		fs.PrintDefaults()
		return cfg, "", err
	case err != nil:
		return cfg, "", fmt.Errorf("%w; hemlock-store -h lists the flags", err)
	case *showVersion:
		fmt.Println("hemlock-store", version())
		return cfg, "", flag.ErrHelp
	}
	if fs.NArg() > 0 {
		return cfg, "", fmt.Errorf("unexpected argument %q; remove it", fs.Arg(0))
	}
	if cfg.ReadRate <= 0 || cfg.WriteRate <= 0 || cfg.WatchWait <= 0 {
		return cfg, "", errors.New("-reads, -writes and -watch-wait must be positive; correct the setting")
	}
	return cfg, *listen, nil
}

func version() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		return info.Main.Version
	}
	return "unknown"
}

func serve(cfg store.Config, listen string) error {
	log, err := zap.NewProduction(zap.Fields(zap.String("role", "store")))
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return fmt.Errorf("%w; choose a free address with -listen", err)
	}
	server := &http.Server{Handler: store.New(cfg).Handler(), ReadHeaderTimeout: 5 * time.Second}
	var g run.Group
	g.Add(func() error {
		log.Info("serving", zap.Stringer("address", l.Addr()))
		return server.Serve(l)
	}, func(error) {
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		if server.Shutdown(ctx) != nil { // a watch may last longer than shutdownTimeout
			_ = server.Close()
		}
	})
	g.Add(run.SignalHandler(context.Background(), syscall.SIGTERM, syscall.SIGINT))
	var signal run.SignalError
	if err := g.Run(); !errors.As(err, &signal) {
		return err
	}
	log.Info("stopped")
	return nil
}
