// Package load generates requests against a daemon or directly against an
// engine and measures what a caller sees: time to the first token, time
// between tokens, throughput, refusals and answers that are not whole.
package load
