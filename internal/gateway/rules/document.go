package rules

import "time"

// Kind says what may be repeated on a route.
type Kind string

// Kinds of route.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = "non_idempotent"
	// Streaming answers are event streams. They run at most once unless the
	// route says that they can be resumed.
	Streaming Kind = "streaming"
)

// Document is one version of the rules.
type Document struct {
	// Version orders documents: the highest is in force.
	Version    uint64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}

// Route leads requests of a host and path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash; the longest match wins.
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a request is kept waiting.
	Timeout time.Duration
	// Target is the time to the answer, or to the first event of a stream.
	Target time.Duration
	// MaxGap is the longest pause between events of a stream that is on time.
	MaxGap time.Duration
	// Priority is the rank of the route, 0 being the most urgent.
	Priority int
	// Split holds the services of the route with their weights.
	Split []Share
	// MaxAttempts bounds the endpoints that one request is sent to.
	MaxAttempts int
	// Anonymous routes need no key.
	Anonymous bool
	// Resumable streams may continue at another endpoint after an event.
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

// Service is a group of equal endpoints.
type Service struct {
	Name string
	// MaxConnections is what one endpoint accepts from all callers together.
	MaxConnections int
	// Engine describes a model engine; nil for plain services.
	Engine *Engine
	// Scaling is set where the number of endpoints can be ordered.
	Scaling *Scaling
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that run at a time.
	Slots int
	// Migrates is set where a run can be moved with its memory.
	Migrates bool
}

// Scaling bounds the endpoints of a service per failure domain.
type Scaling struct {
	Min, Max int
	// Prices holds the price per second by failure domain.
	Prices map[string]float64
}

// Workspace is a customer with keys and a quota.
type Workspace struct {
	Name string
	Keys []string
	// Priority goes before that of the route; nil leaves the route's.
	Priority *int
	// CountTokens makes the quota count tokens instead of requests.
	CountTokens bool
	// DefaultTokens is the cost of a request that states no tokens.
	DefaultTokens int
	// RatePerS and Burst bound what is sent on, over all entries; 0 means no limit.
	RatePerS, Burst float64
}

// Limits bounds what callers may send.
type Limits struct {
	// MaxBodyBytes bounds a body; 0 leaves the default.
	MaxBodyBytes int64
}
