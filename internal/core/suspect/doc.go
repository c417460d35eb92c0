// Package suspect finds requests that crash the endpoints that run them. A
// crash marks every request that ran there; a marked request is retried alone
// and, after a number of crashes, quarantined on all entries. The package does
// no I/O and starts no goroutine.
//
// Bound: let K be the configured number of crashes and c the largest number of
// copies of a poison request that run unmarked at one time. Entries that
// exchange their marks before the next copy starts lose at most max(c, K)
// endpoints to it. Where its crashes fall into waves of other crashes, which
// count half, the bound is 2K + c - 1. Parts of a partition count on their own.
package suspect
