// Package suspect identifies requests, and parts of prompts, that crash the
// endpoints that run them. The package does no I/O and starts no goroutine.
//
// Every request that ran at an endpoint when it crashed becomes suspect. A suspect
// request is retried alone and, after a number of crashes, quarantined on all
// entries.
//
// Bound on the endpoints that one poison request crashes: let K be the configured
// number of crashes, and c the largest number of copies of the request that run at
// the same time before it is suspect. If the entries exchange their records before
// the next copy starts, they lose at most max(c, K) endpoints. If the crashes
// coincide with waves of other crashes, in which a crash has half the weight, the
// bound is 2K + c - 1. In a network partition the bound applies to each side.
//
// The parts of the prompts that ran become suspect in the same records, unless their
// run has already shown that it survives them. Crashes count against a part only
// after its last survival on any entry, and only if no stronger suspect explains
// them: one with at least the same score whose last survival is longer ago. A
// quarantined part comes back once a run with it survives; until then one request at
// a time may run as a probe.
package suspect
