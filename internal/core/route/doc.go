// Package route chooses the endpoint of an attempt: filters drop endpoints
// that cannot serve it, scorers estimate the cost of the others in seconds,
// and the picker takes the cheapest. The package does no I/O.
package route
