// Package wal keeps the log, the snapshots and the identity of a state replica
// in one data folder.
//
// Each batch of the log is one record with length and CRC32C, and is synced
// before Save returns. After a crash only the last record can be incomplete; it
// is cut off. A bad record with a good one after it, or in a segment that is not
// the last, is damage and stops the replica. After a failed write or sync the
// content of the files is unknown, so the log refuses everything from then on.
//
// A bad last record that was synced before looks like an incomplete one. The
// package cannot tell them apart.
package wal
