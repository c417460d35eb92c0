// Package gossipudp carries the membership datagrams between daemons over UDP.
// Datagrams may be lost, duplicated or reordered, and the receiver has to check their
// content. With a key they cannot be forged.
package gossipudp
