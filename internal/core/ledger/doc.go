// Package ledger implements the replicated state: generations of the
// configuration, operation IDs, claims of non-idempotent calls, leases and
// records. State applies the commands of the log in order and is deterministic:
// it reads no clock and draws no random number. Its time is the sum of the
// elapsed durations that leaders put into commands.
package ledger
