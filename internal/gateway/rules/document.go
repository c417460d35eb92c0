package rules

import "time"

// Kind determines whether the requests of a route may be repeated.
type Kind string

// Kinds of route.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = "non_idempotent"
	// Streaming requests are answered by event streams. They run at most once
	// unless the route is resumable.
	Streaming Kind = "streaming"
)

// Document is one version of the rules that operators write.
type Document struct {
	// Version orders documents: the one with the highest version is in force.
	Version    uint64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}

// Route assigns the requests of a host and path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash. The route with the longest matching
	// prefix applies.
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a request may wait for its answer.
	Timeout time.Duration
	// Target is the latency target for the answer, or for the first event of a
	// stream.
	Target time.Duration
	// MaxGap is the longest time between two events of a stream that counts as on
	// time.
	MaxGap time.Duration
	// Priority is the rank of the route; 0 is the most urgent.
	Priority int
	// Split holds the services of the route with their weights.
	Split []Share
	// MaxAttempts bounds the number of endpoints that one request is sent to.
	MaxAttempts int
	// Anonymous is set if requests need no key.
	Anonymous bool
	// Resumable is set if another endpoint may continue a stream after an event.
	Resumable bool
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Share is the weight of one service in a route.
type Share struct {
	Service string
	Weight  int
}

// Service is a group of interchangeable endpoints.
type Service struct {
	Name string
	// MaxConnections is the number of connections that one endpoint accepts from
	// all callers together.
	MaxConnections int
	// Engine describes the model engines of the service; nil for plain services.
	Engine *Engine
	// Scaling is set if the gateway may order the number of endpoints.
	Scaling *Scaling
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that one engine runs at a time.
	Slots int
	// Migrates is set if a running request can be moved to another engine together
	// with its KV cache.
	Migrates bool
}

// Scaling bounds the number of endpoints of a service per failure domain.
type Scaling struct {
	Min, Max int
	// Prices holds the price of an endpoint per second by failure domain.
	Prices map[string]float64
}

// Workspace is a customer with keys and a quota.
type Workspace struct {
	Name string
	Keys []string
	// Priority overrides the priority of the route unless it is nil.
	Priority *int
	// CountTokens makes the quota count tokens instead of requests.
	CountTokens bool
	// DefaultTokens is the cost of a request that does not state its tokens.
	DefaultTokens int
	// RatePerS and Burst bound what all entries together forward to endpoints; 0
	// means no limit.
	RatePerS, Burst float64
}

// Limits bounds what callers may send.
type Limits struct {
	// MaxBodyBytes bounds a request body; 0 means the default.
	MaxBodyBytes int64
	// MaxHeaderBytes bounds the head of a request; 0 means the fixed limit alone.
	MaxHeaderBytes int64
	// HeaderTimeout bounds the time in which a head arrives, and IdleTimeout that of a
	// connection without a request; 0 means the fixed ones alone.
	HeaderTimeout, IdleTimeout time.Duration
}
