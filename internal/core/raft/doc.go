// Package raft is the consensus algorithm Raft as a pure state machine. It
// reads no clock, does no I/O and starts no goroutine: ticks, messages and
// proposals go in, and Ready returns what must be written, sent and applied.
//
// Invariants the caller keeps:
//
//   - Between Ready and Advance no other method is called.
//   - Ready.Early may be sent at once. Snapshot, Entries and HardState are
//     written and synced before Ready.Messages are sent and Ready.Committed
//     entries are applied.
//   - A node starts with everything it ever synced. A node that lost its files
//     starts with a new ID.
package raft
