package registry

// Directory merges the views of several replicas, as an entry holds them. It
// is not safe for concurrent use.
type Directory struct {
	views map[string]map[string]View
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory { return &Directory{views: make(map[string]map[string]View)} }

// Apply takes the changes that a replica sent. whole replaces what it said before.
func (d *Directory) Apply(replica string, list []View, whole bool) {
	view := d.views[replica]
	if view == nil || whole {
		view = make(map[string]View, len(list))
		d.views[replica] = view
	}
	for _, one := range list {
		view[one.Endpoint.ID] = one
	}
}

// Forget drops the view of a replica that left. The last one is kept: without
// any replica, an entry goes on with the endpoints that it knows.
func (d *Directory) Forget(replica string) {
	if len(d.views) > 1 {
		delete(d.views, replica)
	}
}

// Endpoints returns the newest announcement of each endpoint. One that some
// replica still hears has not expired.
func (d *Directory) Endpoints() []Endpoint {
	merged := make(map[string]View)
	for _, view := range d.views {
		for id, one := range view {
			old, known := merged[id]
			if !known || one.Endpoint.supersedes(&old.Endpoint) {
				one.Expired = one.Expired && (!known || old.Expired || one.Endpoint.Born != old.Endpoint.Born)
				merged[id] = one
				continue
			}
			if !one.Expired && one.Endpoint.Born == old.Endpoint.Born {
				old.Expired = false
				merged[id] = old
			}
		}
	}
	list := make([]Endpoint, 0, len(merged))
	for _, one := range merged {
		if !one.Expired && one.Endpoint.State != Gone {
			list = append(list, one.Endpoint)
		}
	}
	return list
}
