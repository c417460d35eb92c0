// Package scale plans how many reclaimable and on-demand endpoints of a service
// run in each failure domain. Reclaimable endpoints are cheap: they carry the
// ordinary load and have capacity for a burst. On-demand endpoints carry the load
// that must survive the reclaim of a domain, and replace reclaimable endpoints
// while the cloud refuses these. The package does no I/O.
package scale
