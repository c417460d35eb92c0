// Package telemetry builds the logs, metrics, traces and explain records of a daemon.
package telemetry
