// Package inlet bounds what clients that nobody controls take from a process: connections,
// descriptors and memory. Every listener of a program belongs to one Inlet.
//
// Connections have a limit by listener. When it is reached, the connections that are in the
// middle of a request and have made no progress for the longest time are closed first, then
// idle ones. A connection whose request was read to its end and runs is never closed. What
// connections hold (buffers, heads, bodies) is taken from one budget in bytes. A request whose
// head or body was not read to its end has not run.
package inlet
