// Package member tracks the daemons and the endpoints: which of them are alive,
// in which incarnation, and what they report.
//
// Node is the membership protocol of one daemon. Its inputs are the time and
// the received messages, and its outputs are the messages to send. Registry
// holds the endpoints. The package does no I/O, starts no goroutine and never
// compares the clocks of two daemons.
package member
