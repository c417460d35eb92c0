package registry

// Directory merges the endpoints that several replicas report to an entry. It is
// not safe for concurrent use.
type Directory struct {
	views map[string]map[string]View
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory { return &Directory{views: make(map[string]map[string]View)} }

// Apply stores the changes that a replica sent. If full is set, they replace
// everything that the replica sent before.
func (d *Directory) Apply(replica string, list []View, full bool) {
	view := d.views[replica]
	if view == nil || full {
		view = make(map[string]View, len(list))
		d.views[replica] = view
	}
	for _, reported := range list {
		view[reported.Endpoint.ID] = reported
	}
}

// Forget drops the view of a replica that left the group. The last view is kept:
// without a replica, an entry continues with the endpoints that it knows.
func (d *Directory) Forget(replica string) {
	if len(d.views) > 1 {
		delete(d.views, replica)
	}
}

// Endpoints returns the newest announcement of each endpoint that is neither gone
// nor expired. An endpoint has not expired as long as one replica receives its
// announcements.
func (d *Directory) Endpoints() []Endpoint {
	merged := make(map[string]View)
	for _, view := range d.views {
		for id, current := range view {
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
