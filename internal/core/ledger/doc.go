// Package ledger is the replicated state: generations of the configuration,
// operation IDs, claims of non-idempotent calls, and leases. State applies the
// commands of the log one after the other and is deterministic: it reads no
// clock and draws no random number. Its only time is the sum of the elapsed
// durations that leaders put into commands.
package ledger
