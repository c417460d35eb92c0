// Package admit decides which request may start next. Ranks keep floors of the
// capacity, the rest goes to the most urgent rank first; inside a rank, deficit
// round robin divides between workspaces and their callers. Requests that can
// no longer meet their deadline are refused before they run. The package does
// no I/O and starts no goroutine.
package admit
