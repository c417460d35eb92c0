// Package member knows the daemons and the endpoints: which of them live, in
// which incarnation, and what they report.
//
// Node is the membership of one daemon: it turns time and received messages
// into messages to send. Registry holds the endpoints. The package does no
// I/O, starts no goroutine and compares no time of day between daemons.
package member
