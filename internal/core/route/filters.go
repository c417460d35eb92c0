package route

import "github.com/boragelead/boragelead/api/endpoint"

// eligible reports whether the state, role and models of a candidate allow it to
// serve the requests of a pool. The result depends on the snapshot only.
func eligible(key poolKey, c *Candidate) bool {
	if c.State != endpoint.StateReady || !roleFits(key.role, c.Role) {
		return false
	}
	return c.Holds(key.model, key.version, key.adapter)
}

// roleFits reports whether an endpoint with role has can run the wanted part of
// a generation. An empty wanted role needs an endpoint that runs both parts.
func roleFits(wanted, has endpoint.Role) bool {
	if has == "" || has == endpoint.RoleBoth {
		return true
	}
	return wanted == has
}

type leaseFilter struct{}

func (leaseFilter) Name() string { return "lease" }

func (leaseFilter) Keep(in *Input, v *View) bool {
	return v.expiresAt == 0 || in.nowNano < v.expiresAt
}

type avoidFilter struct{}

func (avoidFilter) Name() string { return "avoid" }

func (avoidFilter) Keep(in *Input, v *View) bool {
	return len(in.Request.Avoid) == 0 || !containsString(in.Request.Avoid, v.ID)
}

type breakerFilter struct{}

func (breakerFilter) Name() string { return "breaker" }

func (breakerFilter) Keep(_ *Input, v *View) bool { return !v.state.blocked.Load() }

type isolationFilter struct{}

func (isolationFilter) Name() string { return "isolation" }

func (isolationFilter) Keep(in *Input, v *View) bool {
	if v.state.isolated.Load() || v.state.peerIsolated.Load() {
		return false
	}
	// A suspect request stays in the failure domain of its entry, so that it
	// cannot crash an endpoint of another domain.
	return !in.Request.Alone || !v.Remote
}
