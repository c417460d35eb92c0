// Package cluster connects one daemon to the other daemons. It runs the sockets and
// goroutines for the membership, the exchange of the endpoint registry and the
// distribution of the configuration. The protocols themselves are in core/member and
// core/distribute.
package cluster
