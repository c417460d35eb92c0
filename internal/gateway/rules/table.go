package rules

import (
	"cmp"
	"net"
	"slices"
	"strings"
)

// Table is a document indexed for lookups. It is read-only.
type Table struct {
	Document   *Document
	byHost     map[string][]*Route
	byKey      map[string]*Workspace
	services   map[string]*Service
	workspaces map[string]*Workspace
	limited    []string
}

// NewTable indexes a valid document.
func NewTable(d *Document) *Table {
	t := &Table{
		Document: d, byHost: make(map[string][]*Route), byKey: make(map[string]*Workspace),
		services: make(map[string]*Service), workspaces: make(map[string]*Workspace),
	}
	for i := range d.Routes {
		host := strings.ToLower(d.Routes[i].Host)
		t.byHost[host] = append(t.byHost[host], &d.Routes[i])
	}
	for _, list := range t.byHost {
		slices.SortFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range d.Services {
		t.services[d.Services[i].Name] = &d.Services[i]
	}
	for i := range d.Workspaces {
		w := &d.Workspaces[i]
		if w.RatePerS > 0 {
			t.limited = append(t.limited, w.Name)
		}
		t.workspaces[w.Name] = w
		for _, key := range w.Keys {
			t.byKey[key] = w
		}
	}
	return t
}

// Match returns the route of the host with the longest prefix of the path, or nil.
// A port in host is ignored.
func (t *Table) Match(host, path string) *Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, route := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// RequiresKey reports whether the document has workspaces, so that requests need a
// key.
func (t *Table) RequiresKey() bool { return len(t.workspaces) > 0 }

// WorkspaceOf returns the workspace that owns a key, or nil.
func (t *Table) WorkspaceOf(key string) *Workspace { return t.byKey[key] }

// Workspace returns a workspace by name, or nil.
func (t *Table) Workspace(name string) *Workspace { return t.workspaces[name] }

// Service returns a service by name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Pick selects a service of the route by weight. point must be in [0, 1).
func (r *Route) Pick(point float64) string {
	total := 0
	for _, share := range r.Split {
		total += share.Weight
	}
	remaining := int(point * float64(total))
	for _, share := range r.Split {
		if remaining < share.Weight {
			return share.Service
		}
		remaining -= share.Weight
	}
	return r.Split[len(r.Split)-1].Service
}

// LimitedWorkspaces returns the names of the workspaces that have a quota. The caller must
// not change the list.
func (t *Table) LimitedWorkspaces() []string { return t.limited }
