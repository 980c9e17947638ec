// Package stop receives the signals that stop a process, from package initialisation on.
// A program that imports it must read Signals, or only SIGKILL ends it.
//
// Without it, a SIGTERM that arrives while a process is starting kills it, as during
// rolling restarts on a busy VM: the exit code reports a death by signal, and a supervisor
// takes the planned stop for a crash.
//
// The package imports only packages that need little initialisation, so that it is
// initialised before the libraries of the program, which take most of the start time.
package stop

import (
	"os"
	"os/signal"
	"syscall"
)

// pending is the number of signals that are buffered: one that stops the process, and
// one that ends its drain.
const pending = 2

// Signals delivers SIGTERM and SIGINT.
var Signals = make(chan os.Signal, pending)

func init() { signal.Notify(Signals, syscall.SIGTERM, syscall.SIGINT) }
