// Package bench measures the system with stand-in endpoints: what a daemon
// adds to a request, and how the decisions fare against simple ones.
package bench
