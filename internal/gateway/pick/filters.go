package pick

import (
	"slices"

	"github.com/boragelead/boragelead/internal/gateway/registry"
)

// ReadyFilter drops endpoints that are not ready, such as draining ones.
type ReadyFilter struct{}

// Name implements Filter.
func (ReadyFilter) Name() string { return "leaving" }

// Keep implements Filter.
func (ReadyFilter) Keep(_ *Request, v *View) bool { return v.endpoint.State == registry.Ready }

// VersionFilter drops endpoints of other software versions than that at which the
// stream of the request began.
type VersionFilter struct{}

// Name implements Filter.
func (VersionFilter) Name() string { return "software_version" }

// Keep implements Filter.
func (VersionFilter) Keep(r *Request, v *View) bool {
	return r.SoftwareVersion == nil || v.endpoint.SoftwareVersion == *r.SoftwareVersion && !v.mayHaveRestarted(r.Now)
}

// versionGone reports whether the request needs a software version at which no ready
// endpoint is known.
func versionGone(r *Request, members []*stats) bool {
	return r.SoftwareVersion != nil && !slices.ContainsFunc(members, func(s *stats) bool {
		return s.endpoint.State == registry.Ready && s.endpoint.SoftwareVersion == *r.SoftwareVersion
	})
}

// AvoidFilter drops endpoints that earlier attempts were sent to.
type AvoidFilter struct{}

// Name implements Filter.
func (AvoidFilter) Name() string { return "tried" }

// Keep implements Filter.
func (AvoidFilter) Keep(r *Request, v *View) bool { return !slices.Contains(r.Avoid, v.endpoint.ID) }

// PauseFilter drops endpoints that are paused because they failed or were full.
type PauseFilter struct{}

// Name implements Filter.
func (PauseFilter) Name() string { return "paused" }

// Keep implements Filter.
func (PauseFilter) Keep(r *Request, v *View) bool {
	return r.IgnorePauses || !r.Now.Before(v.pausedUntil)
}

// RoomFilter drops endpoints whose slots are taken from requests that need a free one.
type RoomFilter struct{}

// Name implements Filter.
func (RoomFilter) Name() string { return "room" }

// Keep implements Filter.
func (RoomFilter) Keep(r *Request, v *View) bool {
	return !r.WithRoom || v.endpoint.Slots <= 0 || v.requests(r.Now) < v.endpoint.Slots
}

// ConnectionFilter drops endpoints to which this entry already has its share of
// the connections. An endpoint resets connections above its limit.
type ConnectionFilter struct{}

// Name implements Filter.
func (ConnectionFilter) Name() string { return "connections" }

// Keep implements Filter.
func (ConnectionFilter) Keep(r *Request, v *View) bool {
	return r.MaxConnections <= 0 || v.inFlight < r.MaxConnections
}

// RateFilter drops endpoints that limit their request rate and of whose limit this
// entry has no share left.
type RateFilter struct{}

// Name implements Filter.
func (RateFilter) Name() string { return "rate" }

// Keep implements Filter.
func (RateFilter) Keep(r *Request, v *View) bool {
	return v.permits == nil || v.permits.Available(r.Now)
}
