// Package state is a state replica of the gateway: it replicates the document,
// collects what endpoints announce and what entries count, and performs the
// duties that one daemon at a time may perform.
//
// Invariant: an announcement that an endpoint drains is acknowledged once a
// majority of the replicas holds it; every entry follows every replica.
package state
