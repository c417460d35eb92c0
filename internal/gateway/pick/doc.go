// Package pick chooses the endpoint of an exchange: filters drop endpoints that
// must not get it, scorers estimate the cost of the others in seconds, and the
// picker takes one of the cheapest. The package does no I/O.
package pick
