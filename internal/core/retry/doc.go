// Package retry bounds repeated attempts: budgets as a share of first
// attempts, backoff with jitter, circuit breakers and the condition of hedged
// requests. The package does no I/O and starts no goroutine.
package retry
