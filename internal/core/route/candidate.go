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
	// InFlight counts what this entry sent and has not seen end.
	InFlight int
	// PeerInFlight counts what other entries say they have in flight there.
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
		return adapter == "" || containsString(m.Adapters, adapter)
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
	// PromptTokens counts prompt and already emitted tokens.
	PromptTokens int
	// OutputTokens is the expected number of tokens still to generate.
	OutputTokens int
	PrefixHashes []uint64
	RankIndex    int
	// FailureDomain is that of the entry.
	FailureDomain string
	// Avoid lists endpoints that earlier attempts failed on.
	Avoid []string
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
	Score   float64
	Reasons []Reason
}
