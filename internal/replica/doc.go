// Package replica is the I/O layer around consensus, log and ledger. Replica
// holds a copy of the replicated state; Client reaches the group from daemons
// without one. Both implement port.Ledger.
//
// One goroutine owns raft, log and ledger. It takes what arrived in the
// meantime as one batch and syncs once per batch, so the number of commands per
// sync grows with the load.
package replica
