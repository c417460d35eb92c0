// Package hangup catches hangup signals from the start of the process on. A signal that
// arrives before a handler is registered ends the process, and the packages that the
// daemon imports take several milliseconds to initialize, many more on a slow VM. This
// package imports no other package of the module, so that it is initialized before them.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

// maxPending is the number of signals that are buffered while the process starts.
const maxPending = 4

var signals = register()

func register() chan os.Signal {
	c := make(chan os.Signal, maxPending)
	signal.Notify(c, syscall.SIGHUP)
	return c
}

// Signals returns the channel that receives the hangup signals since the process started.
func Signals() chan os.Signal { return signals }

// Release restores the default action of hangup signals, which ends the process.
func Release() { signal.Reset(syscall.SIGHUP) }
