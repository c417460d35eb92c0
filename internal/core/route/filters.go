package route

import "github.com/boragelead/boragelead/api/endpoint"

// static reports whether a candidate can serve a kind of request at all. The
// result depends on the snapshot alone and is cached per kind.
func static(key poolKey, c *Candidate) bool {
	if c.State != endpoint.StateReady || !roleFits(key.role, c.Role) {
		return false
	}
	return c.Holds(key.model, key.version, key.adapter)
}

// roleFits reports whether an endpoint of the given role does the wanted part
// of a generation. A whole generation needs an endpoint that does both parts.
func roleFits(wanted, has endpoint.Role) bool {
	if has == "" || has == endpoint.RoleBoth {
		return true
	}
	return wanted == has
}

type leaseFilter struct{}

func (leaseFilter) Name() string { return "lease" }

func (leaseFilter) Keep(ctx *Input, v *View) bool {
	return v.expiresAt == 0 || ctx.nowNano < v.expiresAt
}

type avoidFilter struct{}

func (avoidFilter) Name() string { return "avoid" }

func (avoidFilter) Keep(ctx *Input, v *View) bool {
	return len(ctx.Request.Avoid) == 0 || !containsString(ctx.Request.Avoid, v.ID)
}

type breakerFilter struct{}

func (breakerFilter) Name() string { return "breaker" }

func (breakerFilter) Keep(_ *Input, v *View) bool { return !v.state.blocked.Load() }

type isolationFilter struct{}

func (isolationFilter) Name() string { return "isolation" }

func (isolationFilter) Keep(ctx *Input, v *View) bool {
	if v.state.isolated.Load() || v.state.peerIsolated.Load() {
		return false
	}
	// A suspect stays in its failure domain, so that it costs no other one an endpoint.
	return !ctx.Request.Alone || !v.Remote
}
