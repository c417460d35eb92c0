// Package rig runs daemons and stand-in endpoints in one process on the loopback
// interface. It is used by the dev command, by benchmarks and by tests.
package rig
