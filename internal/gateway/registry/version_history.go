package registry

import "time"

const (
	// historyTTL is how long a software version counts as lately served. No stream that
	// began at it runs longer.
	historyTTL = 2 * time.Minute
	// minHistory is how long a replica must have recorded versions, so that its list of
	// past versions holds those of all streams that callers may still take up.
	minHistory = 30 * time.Second
	// maxViewAge is how long ago a replica may have answered for its view to hold the
	// versions that serve now.
	maxViewAge = 2 * time.Second
)

// ServiceVersion is a software version of the endpoints of a service.
type ServiceVersion struct {
	Service string `msgpack:"s"`
	Version string `msgpack:"v"`
}

// versionHistory holds when software versions of endpoints that left or were replaced
// were last seen. It is not safe for concurrent use.
type versionHistory map[ServiceVersion]time.Time

// note records that an endpoint with a software version served until now.
func (h versionHistory) note(e *Endpoint, now time.Time) {
	if e.Service != "" {
		h[ServiceVersion{e.Service, e.SoftwareVersion}] = now
	}
}

// recent returns the versions that were seen within historyTTL, and drops the others.
func (h versionHistory) recent(now time.Time) []ServiceVersion {
	var list []ServiceVersion
	for version, seenAt := range h {
		if now.Sub(seenAt) > historyTTL {
			delete(h, version)
			continue
		}
		list = append(list, version)
	}
	return list
}

// SoleVersion returns the software version of the endpoints of a service, if no other
// one serves or served lately. It returns false unless a replica that answered just now
// has recorded the versions for long enough.
func (d *Directory) SoleVersion(service string, now time.Time) (version string, sole bool) {
	versions := make(map[string]bool)
	for _, past := range d.history.recent(now) {
		if past.Service == service {
			versions[past.Version] = true
		}
	}
	confirmed := false
	for _, view := range d.views {
		confirmed = confirmed || view.confirmsVersions(now)
		for _, current := range view.current {
			if current.Endpoint.Service == service && !current.Expired && current.Endpoint.State != Gone {
				versions[current.Endpoint.SoftwareVersion] = true
			}
		}
	}
	if !confirmed || len(versions) != 1 {
		return "", false
	}
	for version = range versions {
		sole = true
	}
	return version, sole
}

// confirmsVersions reports whether the view holds all versions that serve and that
// served lately.
func (v *replicaView) confirmsVersions(now time.Time) bool {
	return v.incoming == nil && now.Sub(v.answeredAt) <= maxViewAge && now.Sub(v.recordedSince) >= minHistory
}

// noteVersions records the versions that a report shows to have served until now.
func (d *Directory) noteVersions(view *replicaView, reported *View, now time.Time) {
	if reported.Expired || reported.Endpoint.State == Gone {
		d.history.note(&reported.Endpoint, now)
	}
	if old, known := view.current[reported.Endpoint.ID]; known && old.Endpoint.SoftwareVersion != reported.Endpoint.SoftwareVersion {
		d.history.note(&old.Endpoint, now)
	}
}
