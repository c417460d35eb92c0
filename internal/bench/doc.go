// Package bench runs benchmarks of the system with stand-in endpoints. It
// measures the overhead that a daemon adds to a request, and compares the
// scheduling decisions of the daemons with a naive baseline.
package bench
