package route

import (
	"time"

	"github.com/boragelead/boragelead/api/endpoint"
)

// Candidate describes an endpoint to the router. The router does not modify it.
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
	// Load is the newest load report. LoadAt is the local time at which it was taken.
	Load   endpoint.Load
	LoadAt time.Time
	// Expires is the end of the lease. The zero time means that no lease is known.
	Expires time.Time
	// PeerInFlight is the number of attempts that other entries report in
	// flight at the endpoint. The router uses the larger of this number and the
	// sum of the merged summaries.
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

// Request holds the properties of a request that routing depends on.
type Request struct {
	Model, Version, Adapter string
	// Role is the part of the generation to place. The empty role means both parts.
	Role endpoint.Role
	// PromptTokens is the number of prompt tokens plus tokens already emitted.
	PromptTokens int
	// OutputTokens is the expected number of tokens still to generate.
	OutputTokens int
	PrefixHashes []uint64
	RankIndex    int
	// FailureDomain is the failure domain of the entry. If it is empty, no
	// endpoint counts as remote.
	FailureDomain string
	// Avoid lists the endpoints at which earlier attempts failed.
	Avoid []string
	// Alone is set for a suspect request, which must run on an endpoint that
	// runs nothing else.
	Alone bool
	// Explain requests Decision.Reasons, which are not allocated otherwise.
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
	// Probe is set when a straggler was chosen to find out whether it has
	// recovered.
	Probe bool
	// WaitIdle is set when a suspect request must wait until all other attempts
	// at its endpoint have ended. The caller isolates the endpoint.
	WaitIdle bool
	Reasons  []Reason

	state          *state
	uncachedTokens int
	prefillWork    int
}
