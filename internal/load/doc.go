// Package load sends generated requests to a daemon, or directly to an engine,
// and measures what a caller sees: time to the first token, time between tokens,
// throughput, refusals and incomplete answers.
package load
