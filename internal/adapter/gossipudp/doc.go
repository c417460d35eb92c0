// Package gossipudp carries the membership datagrams between daemons over UDP.
// Datagrams may be lost, repeated, reordered or forged; the receiver checks them.
package gossipudp
