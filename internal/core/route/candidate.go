package route

import (
	"time"

	"github.com/boragelead/boragelead/api/endpoint"
)

// Candidate is an endpoint as the router sees it. It is read-only for the router.
type Candidate struct {
	ID            string
	Incarnation   uint64
	BaseURL       string
	FailureDomain string
	Class         string
	Role          endpoint.Role
	State         endpoint.State
	Models        []endpoint.LoadedModel
	Slots         int
	Reclaimable   bool
	// Load is the newest load report and LoadAt the local time at which its figures were true.
	Load   endpoint.Load
	LoadAt time.Time
	// Expires is when the lease ends; the zero time means no lease is known.
	Expires time.Time
	// PeerInFlight counts what other entries say they have in flight there.
	// The larger of it and the merged summaries counts.
	PeerInFlight int
}

// Holds reports whether the endpoint has the model, version and adapter in
// memory. An empty version or adapter matches any.
func (c *Candidate) Holds(model, version, adapter string) bool {
	for i := range c.Models {
		m := &c.Models[i]
		if m.Name != model || (version != "" && m.Version != version) {
			continue
		}
		if adapter == "" || containsString(m.Adapters, adapter) {
			return true
		}
	}
	return false
}

func containsString(list []string, s string) bool {
	for _, item := range list {
		if item == s {
			return true
		}
	}
	return false
}

// Request is what the router needs to know of a request.
type Request struct {
	Model, Version, Adapter string
	// Role is the part of the generation to place; empty means the whole.
	Role endpoint.Role
	// PromptTokens counts prompt and already emitted tokens.
	PromptTokens int
	// OutputTokens is the expected number of tokens still to generate.
	OutputTokens int
	PrefixHashes []uint64
	RankIndex    int
	// FailureDomain is that of the entry; empty treats all domains alike.
	FailureDomain string
	// Avoid lists endpoints that earlier attempts failed on.
	Avoid []string
	// Alone asks for an endpoint that runs nothing else, for a suspect request.
	Alone bool
	// Explain asks for reasons; without it the decision allocates none.
	Explain bool
}

// Reason explains one step of a decision.
type Reason struct {
	Step     string  `json:"step"`
	Endpoint string  `json:"endpoint,omitempty"`
	Score    float64 `json:"score,omitempty"`
	Detail   string  `json:"detail,omitempty"`
}

// Decision is the outcome of routing.
type Decision struct {
	Endpoint *Candidate
	// Score is the estimated cost in seconds.
	Score float64
	// CachedTokens is the part of the prompt expected in the prefix cache.
	CachedTokens int
	// Probe is set when a straggler was chosen to learn whether it recovered.
	Probe bool
	// WaitIdle is set when a suspect request must wait until its endpoint,
	// which the caller isolates, has run empty.
	WaitIdle bool
	Reasons  []Reason

	state  *state
	tokens int
	work   int
}
