// Package reload receives SIGHUP, which makes a process read its settings again, from
// package initialisation on. A SIGHUP that arrives before a handler is registered kills
// the process without a line in its log.
//
// The package imports only packages that need little initialisation, so that it is
// initialised before the libraries of the program, which take most of the start time.
package reload

import (
	"os"
	"os/signal"
	"syscall"
)

// Signals delivers SIGHUP. Of several pending signals only one is kept, since the
// settings are read once for all of them.
var Signals = make(chan os.Signal, 1)

func init() { signal.Notify(Signals, syscall.SIGHUP) }
