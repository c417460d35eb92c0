package conf

// Document is the operators' document of one environment. Durations are in
// milliseconds where the name ends in MS, in seconds where it ends in S.
type Document struct {
	// Environment names the environment, such as "trial" or "production".
	Environment string `json:"environment"`
	// Ranks lists the ranks of work, the most urgent first.
	Ranks []Rank `json:"ranks"`
	// Models lists the models that callers can name.
	Models []Model `json:"models"`
	// Workspaces lists the tenants and their keys.
	Workspaces []Workspace `json:"workspaces"`
	// Services lists the plain services that are routed to.
	Services []Service `json:"services,omitempty"`
	Fairness Fairness  `json:"fairness"`
	Routing  Routing   `json:"routing"`
	Retry    Retry     `json:"retry"`
	Limits   Limits    `json:"limits"`
	Claims   Claims    `json:"claims"`
	Fleet    Fleet     `json:"fleet"`
}

// Rank is a class of work with a latency target of its own.
type Rank struct {
	Name string `json:"name"`
	// FirstTokenMS is the target for the time to the first token.
	FirstTokenMS int `json:"first_token_ms"`
	// PerTokenMS is the target for the time between tokens.
	PerTokenMS int `json:"per_token_ms"`
	// MaxWaitMS bounds the time in the queue; a request that cannot start by then is refused.
	MaxWaitMS int `json:"max_wait_ms"`
	// Worth weighs the rank when cost is traded against latency.
	Worth float64 `json:"worth"`
	// Floor is the share of capacity in [0, 1] that the rank keeps while others flood.
	Floor float64 `json:"floor"`
}

// Model is a model that callers can name.
type Model struct {
	Name    string `json:"name"`
	Version string `json:"version"`
	// Adapters lists the adapters that can be loaded on top of the model.
	Adapters []string `json:"adapters,omitempty"`
	// MaxContextTokens bounds prompt and answer together.
	MaxContextTokens int `json:"max_context_tokens"`
	// MaxOutputTokens bounds the answer; it applies where the caller names no bound.
	MaxOutputTokens int `json:"max_output_tokens"`
	// WeightBytes is the size of the weights in the weight store.
	WeightBytes int64 `json:"weight_bytes"`
	// MinEndpoints is the number of endpoints that always hold the model.
	MinEndpoints int `json:"min_endpoints,omitempty"`
}

// Workspace is a tenant.
type Workspace struct {
	Name string `json:"name"`
	// Weight is the share of the workspace relative to the others.
	Weight float64 `json:"weight"`
	// Ranks lists the ranks that the workspace may use.
	Ranks []string `json:"ranks"`
	// DefaultRank applies where neither key nor request names one.
	DefaultRank string `json:"default_rank"`
	// Models lists the models that the workspace may use; empty means all.
	Models []string `json:"models,omitempty"`
	Keys   []Key    `json:"keys"`
	// MaxQueued bounds the requests of the workspace that wait at one entry, in each rank.
	MaxQueued int `json:"max_queued"`
	// MaxQueuedPerCaller bounds the waiting requests of one caller at one entry, in each rank.
	MaxQueuedPerCaller int `json:"max_queued_per_caller"`
}

// Key is an access key of a workspace.
type Key struct {
	// SHA256 is the SHA-256 hash of the secret in lower-case hexadecimal.
	SHA256 string `json:"sha256"`
	// Caller names the caller for fairness where the request names none.
	Caller string `json:"caller,omitempty"`
	// DefaultRank overrides the default rank of the workspace.
	DefaultRank string `json:"default_rank,omitempty"`
}

// Service is a plain service behind /services/NAME/.
type Service struct {
	Name string `json:"name"`
	// Rules are tried in order. A call that matches none is treated as non-idempotent.
	Rules []ServiceRule `json:"rules"`
	// TimeoutMS bounds one call.
	TimeoutMS int `json:"timeout_ms"`
}

// ServiceRule says which calls of a service can be repeated.
type ServiceRule struct {
	Method     string `json:"method"`
	PathPrefix string `json:"path_prefix"`
	Idempotent bool   `json:"idempotent"`
}

// Fairness configures the division of capacity between workspaces and callers.
type Fairness struct {
	// QuantumTokens is the quantum of the deficit round robin.
	QuantumTokens int `json:"quantum_tokens"`
	// CallerExponent shapes the division between callers of a workspace: 0
	// divides equally, 1 leaves shares proportional to demand.
	CallerExponent float64 `json:"caller_exponent"`
	// UsageHalfLifeS is the half-life of remembered usage.
	UsageHalfLifeS int `json:"usage_half_life_s"`
}

// Routing configures the choice of endpoint.
type Routing struct {
	// PriceWeight converts price per hour into seconds of score.
	PriceWeight float64 `json:"price_weight"`
	// CrossDomainPenaltyMS is added for an endpoint in another failure domain.
	CrossDomainPenaltyMS int `json:"cross_domain_penalty_ms"`
	// ProbeShare is the share of requests sent to straggling endpoints to learn whether they recovered.
	ProbeShare float64 `json:"probe_share"`
}

// Retry configures retries.
type Retry struct {
	// BudgetShare bounds retries as a share of first attempts.
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

// Limits bounds what callers can send.
type Limits struct {
	MaxBodyBytes   int64 `json:"max_body_bytes"`
	BodyTimeoutMS  int   `json:"body_timeout_ms"`
	SilentStreamMS int   `json:"silent_stream_ms"`
}

// Claims configures the at-most-once ledger.
type Claims struct {
	// RetentionS is how long a claim and its result are kept. No resend may come later.
	RetentionS int `json:"retention_s"`
	// MaxResultBytes bounds the recorded result of a call.
	MaxResultBytes int `json:"max_result_bytes"`
}

// Fleet configures the planner.
type Fleet struct {
	Classes []MachineClass `json:"classes"`
	Domains []DomainFleet  `json:"domains"`
	// UrgentFloorOnDemand is the share of the urgent rank's demand kept on VMs that cannot be reclaimed.
	UrgentFloorOnDemand float64 `json:"urgent_floor_on_demand"`
	// Headroom is the share of capacity kept above the expected demand.
	Headroom float64 `json:"headroom"`
	// WeightStoreBytesPerS is the rate limit of the weight store.
	WeightStoreBytesPerS int64 `json:"weight_store_bytes_per_s"`
}

// MachineClass is a kind of VM that can run endpoints.
type MachineClass struct {
	Name string `json:"name"`
	// DecodeTokensPerS is the expected throughput over the whole batch.
	DecodeTokensPerS float64 `json:"decode_tokens_per_s"`
	// PrefillTokensPerS is the expected prefill speed.
	PrefillTokensPerS float64 `json:"prefill_tokens_per_s"`
	Slots             int     `json:"slots"`
	MemoryBytes       int64   `json:"memory_bytes"`
}

// DomainFleet bounds and prices the VMs of one failure domain.
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
	// MaxVMs bounds the VMs of the class in the failure domain.
	MaxVMs int `json:"max_vms"`
}
