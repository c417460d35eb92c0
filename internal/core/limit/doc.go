// Package limit adapts the concurrency limit of each endpoint to the measured
// time between tokens, and divides it between the entries of a failure domain
// by demand. The package does no I/O and starts no goroutine.
package limit
