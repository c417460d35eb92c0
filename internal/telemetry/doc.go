// Package telemetry builds the logs, metrics, traces and explain records of a
// daemon. Nothing in it is global but the expvar map, in which each daemon of
// the process has an entry of its own.
package telemetry
