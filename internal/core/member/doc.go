// Package member knows the daemons and the endpoints: which of them live, in
// which incarnation, and what they report. The package does no I/O.
package member
