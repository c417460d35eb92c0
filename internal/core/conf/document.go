package conf

// Document is the operators' document of one environment. Durations are in
// milliseconds where the name ends in MS, in seconds where it ends in S.
type Document struct {
	// Environment names the environment, such as "trial" or "production".
	Environment string `json:"environment"`
	// Ranks lists the ranks, the most urgent first.
	Ranks []Rank `json:"ranks"`
	// Models lists the models that callers can request.
	Models []Model `json:"models"`
	// Workspaces lists the workspaces and their keys.
	Workspaces []Workspace `json:"workspaces"`
	// Services lists the plain services to which calls are routed.
	Services []Service `json:"services,omitempty"`
	Fairness Fairness  `json:"fairness"`
	Routing  Routing   `json:"routing"`
	Retry    Retry     `json:"retry"`
	Limits   Limits    `json:"limits"`
	Claims   Claims    `json:"claims"`
	Fleet    Fleet     `json:"fleet"`
}

// Rank is a class of requests with its own latency targets.
type Rank struct {
	Name string `json:"name"`
	// FirstTokenMS is the target for the time to the first token.
	FirstTokenMS int `json:"first_token_ms"`
	// PerTokenMS is the target for the time between tokens.
	PerTokenMS int `json:"per_token_ms"`
	// MaxWaitMS bounds the time in the queue. A request that cannot start within it is refused.
	MaxWaitMS int `json:"max_wait_ms"`
	// Worth weighs the rank when cost is traded against latency.
	Worth float64 `json:"worth"`
	// Floor is the share of capacity, in [0, 1], that the rank keeps while other ranks are overloaded.
	Floor float64 `json:"floor"`
}

// Model is a model that callers can request.
type Model struct {
	Name    string `json:"name"`
	Version string `json:"version"`
	// Adapters lists the adapters that can be loaded on top of the model.
	Adapters []string `json:"adapters,omitempty"`
	// MaxContextTokens bounds the tokens of prompt and answer together.
	MaxContextTokens int `json:"max_context_tokens"`
	// MaxOutputTokens bounds the tokens of an answer. It is also the default where
	// the caller gives no bound.
	MaxOutputTokens int `json:"max_output_tokens"`
	// WeightBytes is the size of the weights in the weight store.
	WeightBytes int64 `json:"weight_bytes"`
	// MinEndpoints is the minimum number of endpoints that have the model loaded.
	MinEndpoints int `json:"min_endpoints,omitempty"`
}

// Workspace is a group of callers with its own keys, ranks and share of capacity.
type Workspace struct {
	Name string `json:"name"`
	// Weight is the share of capacity of the workspace relative to the other workspaces.
	Weight float64 `json:"weight"`
	// Ranks lists the ranks that the workspace may use.
	Ranks []string `json:"ranks"`
	// DefaultRank applies where neither the key nor the request specifies a rank.
	DefaultRank string `json:"default_rank"`
	// Models lists the models that the workspace may use; empty means all.
	Models []string `json:"models,omitempty"`
	Keys   []Key    `json:"keys"`
	// MaxQueued bounds the requests of the workspace that are queued at one entry, per rank.
	MaxQueued int `json:"max_queued"`
	// MaxQueuedPerCaller bounds the queued requests of one caller at one entry, per rank.
	MaxQueuedPerCaller int `json:"max_queued_per_caller"`
}

// Key is an access key of a workspace.
type Key struct {
	// SHA256 is the SHA-256 hash of the secret in lower-case hexadecimal.
	SHA256 string `json:"sha256"`
	// Caller identifies the caller for fairness where the request specifies none.
	Caller string `json:"caller,omitempty"`
	// DefaultRank overrides the default rank of the workspace.
	DefaultRank string `json:"default_rank,omitempty"`
}

// Service is a plain service that callers reach at /services/NAME/.
type Service struct {
	Name string `json:"name"`
	// Rules are tried in order. A call that matches no rule is treated as non-idempotent.
	Rules []ServiceRule `json:"rules"`
	// TimeoutMS bounds the duration of one call.
	TimeoutMS int `json:"timeout_ms"`
}

// ServiceRule says whether the calls that it matches can be repeated.
type ServiceRule struct {
	Method     string `json:"method"`
	PathPrefix string `json:"path_prefix"`
	Idempotent bool   `json:"idempotent"`
}

// Fairness configures how capacity is divided between workspaces and callers.
type Fairness struct {
	// QuantumTokens is the quantum of the deficit round robin.
	QuantumTokens int `json:"quantum_tokens"`
	// CallerExponent determines the shares of the callers of a workspace: 0 gives
	// equal shares, 1 gives shares proportional to demand.
	CallerExponent float64 `json:"caller_exponent"`
	// UsageHalfLifeS is the half-life with which past usage decays.
	UsageHalfLifeS int `json:"usage_half_life_s"`
}

// Routing configures the choice of an endpoint.
type Routing struct {
	// PriceWeight converts the price per hour into seconds of the routing score.
	PriceWeight float64 `json:"price_weight"`
	// CrossDomainPenaltyMS is added to the score of an endpoint in another failure domain.
	CrossDomainPenaltyMS int `json:"cross_domain_penalty_ms"`
	// ProbeShare is the share of requests that are sent to slow endpoints to find
	// out whether they have recovered.
	ProbeShare float64 `json:"probe_share"`
}

// Retry configures retries.
type Retry struct {
	// BudgetShare is the maximum number of retries as a share of first attempts.
	BudgetShare float64 `json:"budget_share"`
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts   int `json:"max_attempts"`
	BackoffBaseMS int `json:"backoff_base_ms"`
	BackoffMaxMS  int `json:"backoff_max_ms"`
	// QuarantineCrashes is the number of endpoint crashes after which a request is quarantined.
	QuarantineCrashes int `json:"quarantine_crashes"`
	// QuarantineS is how long a quarantine lasts.
	QuarantineS int `json:"quarantine_s"`
}

// Limits configures limits for requests and streams.
type Limits struct {
	MaxBodyBytes   int64 `json:"max_body_bytes"`
	BodyTimeoutMS  int   `json:"body_timeout_ms"`
	SilentStreamMS int   `json:"silent_stream_ms"`
}

// Claims configures the ledger that lets non-idempotent calls run at most once.
type Claims struct {
	// RetentionS is how long a claim and its result are kept. A resend that arrives
	// later could run the call again.
	RetentionS int `json:"retention_s"`
	// MaxResultBytes bounds the size of the recorded result of a call.
	MaxResultBytes int `json:"max_result_bytes"`
}

// Fleet configures the planning of the fleet.
type Fleet struct {
	Classes []MachineClass `json:"classes"`
	Domains []DomainFleet  `json:"domains"`
	// UrgentFloorOnDemand is the share of the most urgent rank's demand for which
	// on-demand VMs are kept.
	UrgentFloorOnDemand float64 `json:"urgent_floor_on_demand"`
	// Headroom is the capacity kept above the expected demand, as a share of it.
	Headroom float64 `json:"headroom"`
	// WeightStoreBytesPerS is the rate limit of the weight store.
	WeightStoreBytesPerS int64 `json:"weight_store_bytes_per_s"`
}

// MachineClass is a kind of VM that can run endpoints.
type MachineClass struct {
	Name string `json:"name"`
	// DecodeTokensPerS is the expected decode throughput of a whole batch.
	DecodeTokensPerS float64 `json:"decode_tokens_per_s"`
	// PrefillTokensPerS is the expected prefill speed.
	PrefillTokensPerS float64 `json:"prefill_tokens_per_s"`
	Slots             int     `json:"slots"`
	MemoryBytes       int64   `json:"memory_bytes"`
}

// DomainFleet gives the limits and prices of the VMs of one failure domain.
type DomainFleet struct {
	FailureDomain string       `json:"failure_domain"`
	Region        string       `json:"region"`
	Classes       []ClassPrice `json:"classes"`
}

// ClassPrice is the price of a machine class in one failure domain, per VM and hour.
type ClassPrice struct {
	Class       string  `json:"class"`
	OnDemand    float64 `json:"on_demand"`
	Reclaimable float64 `json:"reclaimable"`
	// MaxVMs bounds the number of VMs of the class in the failure domain.
	MaxVMs int `json:"max_vms"`
}
