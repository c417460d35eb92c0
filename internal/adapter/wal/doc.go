// Package wal keeps the log, the snapshots and the identity of a state replica
// in one data folder.
//
// Each batch of the log is one record with a length and a CRC32C checksum, and is
// synced before Save returns. After a crash only the last record can be incomplete;
// Open truncates it. An invalid record that is followed by a valid one, or that is
// in a segment other than the last, counts as damage, and the replica does not
// start. After a failed write or sync the content of the files is unknown, so the
// log rejects all later writes.
//
// An invalid last record that had been synced cannot be told from an incomplete
// one, so it is truncated as well.
package wal
