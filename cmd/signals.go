package cmd

import (
	"os"
	"os/signal"
	"syscall"
)

// processSignals are the signals that a node handles. The default action of each would end
// the process.
type processSignals struct {
	// stops receives requests to stop.
	stops chan os.Signal
	// reloads receives SIGHUP. It is separate, so that a series of reloads cannot displace a
	// stop.
	reloads chan os.Signal
}

// notifySignals starts to receive signals, and ignores SIGPIPE, which the process gets when
// the reader of its log is gone. Commands call it first, because a signal that comes earlier
// ends the process, and never undo it, because one may still come while the process exits.
func notifySignals() processSignals {
	s := processSignals{stops: make(chan os.Signal, 2), reloads: make(chan os.Signal, 1)}
	signal.Notify(s.stops, syscall.SIGTERM, os.Interrupt)
	signal.Notify(s.reloads, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE)
	return s
}
