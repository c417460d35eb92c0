// Package distribute decides how a configuration generation spreads: what a
// daemon accepts, whom it passes the generation on to and when it pulls. It
// does no I/O.
package distribute
