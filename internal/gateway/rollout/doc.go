// Package rollout decides how a service moves to endpoints of another software version:
// how many requests the new version gets, whether it is worse than the old one, and when
// the roll-out completes or reverts. "New" is the version that the operator ordered, "old"
// is any other. The package does no I/O.
package rollout
