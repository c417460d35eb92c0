// Package raft implements the Raft consensus algorithm as a pure state machine.
// It reads no clock, does no I/O and starts no goroutine. Its inputs are ticks,
// messages and proposals; Ready returns what the caller must write, send and
// apply.
//
// The caller must keep these rules:
//
//   - It calls no other method between Ready and Advance.
//   - It may send Ready.EarlyMessages at once. It writes and syncs Snapshot,
//     Entries and HardState before it sends Ready.Messages and applies
//     Ready.Committed.
//   - It starts a node with everything that the node has ever synced. A node
//     that lost its files starts with a new ID.
package raft
