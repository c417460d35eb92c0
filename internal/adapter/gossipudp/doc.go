// Package gossipudp carries the membership datagrams between daemons over UDP.
// Datagrams may be lost, repeated or reordered; the receiver checks them. With
// a key they cannot be forged.
package gossipudp
