// Package limit adapts the concurrency limit of each endpoint to the measured
// time to the first token and between tokens, and divides the limit between the
// entries of a failure domain by demand. It does no I/O and starts no goroutine.
package limit
