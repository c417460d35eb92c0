// Package inlet bounds what untrusted clients take from a process: connections, descriptors and
// memory. Every listener of a program belongs to one Inlet.
//
// Connections have a limit by listener: each open one takes one of the listener's places. When
// none is left, the connections that are in the middle of a request, or of an answer that the
// client does not take, and have made no progress for the longest time are closed first, then
// idle ones. A connection is not closed for others while its request runs and no answer is being
// written. What connections hold (buffers, heads, bodies) is taken from one budget in bytes. A
// request whose head or body was not read to its end has not run.
//
// An answer to HTTP/1.0 may end with its connection only. Such a connection ends in order after
// the whole answer, and is reset by any other end, also by that of the process.
package inlet
