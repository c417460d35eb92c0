// Package distribute controls the distribution of configuration generations. It
// defines the messages between daemons, and decides which generation a daemon
// installs and when it pulls. It does no I/O.
package distribute
