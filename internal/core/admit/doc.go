// Package admit decides which request may start next. Each rank keeps a floor of
// the capacity, and the rest goes to the most urgent rank with queued requests.
// Within a rank, deficit round robin divides the capacity between workspaces,
// and between the callers of a workspace. Requests that can no longer meet
// their deadline are refused before they run. The package does no I/O and
// starts no goroutine.
package admit
