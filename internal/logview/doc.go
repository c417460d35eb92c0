// Package logview finds the path of a request in the collected logs of several
// daemons. Their clocks may differ: the lines of one daemon keep their order,
// and those of others are placed by events that both logged. The package does
// no I/O beyond the readers that it is given.
package logview
