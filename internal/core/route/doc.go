// Package route chooses the endpoint of an attempt. Filters drop the endpoints
// that cannot serve it, scorers estimate the cost of the others in seconds, and
// the picker chooses one with a low cost. The package does no I/O.
package route
