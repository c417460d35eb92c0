// Package logview finds the log lines that explain a request in the collected
// logs of several daemons, and puts them in order. The clocks of the daemons may
// differ, so the package estimates the clock offsets from events that two daemons
// logged. The lines of one daemon keep their order. The package does no I/O except
// from the readers that are passed to it.
package logview
