// Package rig runs daemons and stand-in endpoints in one process on loopback,
// for the dev command, for measurements and for tests.
package rig
