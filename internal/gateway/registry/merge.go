package registry

import "time"

// Directory merges the endpoints that several replicas report to an entry. It is
// not safe for concurrent use.
type Directory struct {
	views   map[string]*replicaView
	history versionHistory
}

// replicaView holds the endpoints that one replica reported, by ID.
type replicaView struct {
	current map[string]View
	// incoming collects a full update of which not all parts have arrived; nil without
	// one.
	incoming map[string]View
	// answeredAt is when the replica answered last, and recordedSince the time since
	// which it has recorded software versions.
	answeredAt, recordedSince time.Time
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{views: make(map[string]*replicaView), history: make(versionHistory)}
}

// Part is a part of what a replica reports.
type Part struct {
	Views []View
	// Full is set in the first part of an update that replaces everything that the
	// replica sent before. More is set in all parts of an update but the last.
	Full, More bool
	// Past lists the software versions of endpoints that left or were replaced lately.
	Past []ServiceVersion
	// Recorded is how long the replica has recorded software versions.
	Recorded time.Duration
}

// Apply stores what a replica sent. It holds at once, but endpoints that a full update
// does not name are dropped only with its last part. It reports whether the view of
// the replica may have changed.
func (d *Directory) Apply(replica string, part Part, now time.Time) (changed bool) {
	for _, past := range part.Past {
		d.history[past] = now
	}
	view := d.views[replica]
	if view == nil {
		view = &replicaView{current: make(map[string]View, len(part.Views))}
		d.views[replica] = view
	}
	view.answeredAt, view.recordedSince = now, now.Add(-part.Recorded)
	if part.Full {
		view.incoming = make(map[string]View, len(part.Views))
	}
	for _, reported := range part.Views {
		d.noteVersions(view, &reported, now)
		view.current[reported.Endpoint.ID] = reported
		if view.incoming != nil {
			view.incoming[reported.Endpoint.ID] = reported
		}
	}
	complete := view.incoming != nil && !part.More
	if complete {
		for id, old := range view.current {
			if _, kept := view.incoming[id]; !kept {
				d.history.note(&old.Endpoint, now)
			}
		}
		view.current, view.incoming = view.incoming, nil
	}
	return complete || len(part.Views) > 0
}

// Forget drops the view of a replica that left the group. The last view is kept:
// without a replica, an entry continues with the endpoints that it knows.
func (d *Directory) Forget(replica string) {
	if len(d.views) > 1 {
		delete(d.views, replica)
	}
}

// LastAnswer returns when a replica answered last; zero before the first answer.
func (d *Directory) LastAnswer() time.Time {
	var last time.Time
	for _, view := range d.views {
		if view.answeredAt.After(last) {
			last = view.answeredAt
		}
	}
	return last
}

// Endpoints returns the newest announcement of each endpoint that is neither gone
// nor expired. An endpoint has not expired as long as one replica receives its
// announcements.
func (d *Directory) Endpoints() []Endpoint {
	merged := make(map[string]View)
	for _, view := range d.views {
		for id, current := range view.current {
			old, known := merged[id]
			if !known || current.Endpoint.supersedes(&old.Endpoint) {
				current.Expired = current.Expired && (!known || old.Expired || current.Endpoint.Born != old.Endpoint.Born)
				merged[id] = current
				continue
			}
			if !current.Expired && current.Endpoint.Born == old.Endpoint.Born {
				old.Expired = false
				merged[id] = old
			}
		}
	}
	list := make([]Endpoint, 0, len(merged))
	for _, current := range merged {
		if !current.Expired && current.Endpoint.State != Gone {
			list = append(list, current.Endpoint)
		}
	}
	return list
}
