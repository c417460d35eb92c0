// Package scale plans how many endpoints of a service run in each failure
// domain, and of which kind. Reclaimable endpoints are cheap and carry the
// ordinary load with room for a burst; on-demand ones carry what must not be
// lost at once and stand in while no reclaimable ones are to be had. The
// package does no I/O.
package scale
