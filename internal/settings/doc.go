// Package settings holds the static settings of one daemon process: its
// addresses, failure domain, roles and peers. They are read once at the start
// and checked before the daemon opens a listener.
package settings
