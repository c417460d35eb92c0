// Package quorum decides which replicas of a consensus group vote.
//
// Machines are replaced one after the other, in any order, and a group keeps its quorum only if
// its voters follow. The decisions are pure: the leader passes in what it observes and proposes
// the change that it gets back. They keep three invariants:
//
//   - A group that has had 2f+1 voters never has fewer, where f is the number of replicas that
//     may be lost at once. A majority of them is f+1 replicas, so that what was acknowledged
//     outlives the loss of f disks.
//   - No change leaves fewer active voters than a majority needs.
//   - Changes come one at a time. Consensus itself requires that.
package quorum
