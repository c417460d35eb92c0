// Package replica does the I/O for the raft consensus, the write-ahead log and
// the ledger. A Replica holds a copy of the replicated state. A Client sends
// requests to the group of replicas from daemons that hold no copy. Both
// implement port.Ledger.
//
// One goroutine, the event loop, owns raft, log and ledger. It processes
// everything that arrived during the last sync as one batch and syncs the log
// once per batch, so the number of commands per sync grows with the load.
package replica
