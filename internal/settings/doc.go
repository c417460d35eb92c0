// Package settings holds the static settings of one daemon process: its
// addresses, failure domain, roles and peers. They are read once, at start,
// and checked before anything listens.
package settings
