// Package telemetry provides the logs, metrics, traces and explain records of a
// daemon. Its only global state is the expvar map, in which each daemon of the
// process has its own entry.
package telemetry
