// Package cluster runs the membership, the registry exchange and the
// configuration distribution of one daemon: the sockets and goroutines around
// core/member and core/distribute.
package cluster
