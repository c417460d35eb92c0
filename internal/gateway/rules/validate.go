package rules

import (
	"fmt"
	"strings"
)

// Validate checks a document. The error is an *InvalidError.
func (d *Document) Validate() error {
	services := make(map[string]bool, len(d.Services))
	for i := range d.Services {
		name := d.Services[i].Name
		if name == "" || services[name] {
			return &InvalidError{fmt.Sprintf("services[%d].name", i), "empty or used twice"}
		}
		services[name] = true
	}
	hostPrefixes := make(map[[2]string]bool, len(d.Routes))
	for i := range d.Routes {
		if err := d.Routes[i].validate(fmt.Sprintf("routes[%d]", i), services); err != nil {
			return err
		}
		hostPrefix := [2]string{d.Routes[i].Host, d.Routes[i].Prefix}
		if hostPrefixes[hostPrefix] {
			return &InvalidError{fmt.Sprintf("routes[%d]", i), "another route has the same host and prefix"}
		}
		hostPrefixes[hostPrefix] = true
	}
	return d.validateWorkspaces()
}

func (r *Route) validate(path string, services map[string]bool) error {
	switch {
	case r.Host == "":
		return &InvalidError{path + ".host", "empty"}
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return &InvalidError{path + ".prefix", "must begin and end with a slash"}
	case r.Timeout <= 0:
		return &InvalidError{path + ".timeout", "must be above 0"}
	case r.Kind != Idempotent && r.Kind != NonIdempotent && r.Kind != Streaming:
		return &InvalidError{path + ".kind", "unknown kind " + string(r.Kind)}
	}
	total := 0
	for _, share := range r.Split {
		if !services[share.Service] {
			return &InvalidError{path + ".split", "unknown service " + share.Service}
		}
		if share.Weight < 0 {
			return &InvalidError{path + ".split", "negative weight"}
		}
		total += share.Weight
	}
	if total == 0 {
		return &InvalidError{path + ".split", "weights add up to 0"}
	}
	return nil
}

func (d *Document) validateWorkspaces() error {
	keys := make(map[string]bool)
	names := make(map[string]bool, len(d.Workspaces))
	for i := range d.Workspaces {
		w := &d.Workspaces[i]
		path := fmt.Sprintf("workspaces[%d]", i)
		if w.Name == "" || names[w.Name] {
			return &InvalidError{path + ".name", "empty or used twice"}
		}
		names[w.Name] = true
		for _, key := range w.Keys {
			if key == "" || keys[key] {
				return &InvalidError{path + ".keys", "empty or shared with another workspace"}
			}
			keys[key] = true
		}
	}
	return nil
}
