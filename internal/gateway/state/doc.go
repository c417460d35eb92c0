// Package state implements the state replica of the gateway. A replica stores
// the operators' document in the replicated log, collects the announcements of
// endpoints and the request counts of entries, and performs the duties that one
// daemon at a time may perform.
//
// Invariant: the announcement that an endpoint drains is acknowledged only after
// a majority of the replicas has stored it. It is sent to all replicas at the
// same time, and every entry polls the leader and some further replicas.
//
// Invariant: only a replica that all entries poll sums their demand and reports
// their usage. In a small group this holds for every replica, in a larger group
// for the leader alone.
package state
