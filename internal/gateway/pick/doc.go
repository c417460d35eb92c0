// Package pick chooses the endpoint for a request: filters drop endpoints that
// must not receive it, scorers estimate the cost of the others in seconds, and
// the picker selects one with a low cost. The package does no I/O.
package pick
