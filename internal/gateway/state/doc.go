// Package state is a state replica of the gateway: it replicates the document,
// collects what endpoints announce and what entries count, and performs the
// duties that one daemon at a time may perform.
//
// Invariant: an announcement that an endpoint drains is acknowledged once a
// majority of the replicas holds it. All others get it at the same time, and
// every entry follows the leader and some of them.
//
// Invariant: only a replica that all entries poll sums up their demand and
// reports their usage: any of a small group, the leader of a larger one.
package state
