package endpoint

// Kind tells model engines from plain services.
type Kind string

// Kinds of endpoint.
const (
	KindEngine  Kind = "engine"
	KindService Kind = "service"
)

// Role is the part of a generation that an engine performs.
type Role string

// Roles of an engine.
const (
	RoleBoth    Role = "both"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// State is the life-cycle state that an endpoint reports of itself.
type State string

// States of an endpoint. Only a ready endpoint receives new work.
const (
	StateLoading State = "loading"
	StateReady   State = "ready"
	StateLeaving State = "leaving"
)

// FencingMode tells how an endpoint treats an order with an old fencing number.
type FencingMode string

// Fencing modes.
const (
	FencingEnforced FencingMode = "enforced"
	FencingIgnored  FencingMode = "ignored"
)

// LoadedModel is a model version in the memory of an engine.
type LoadedModel struct {
	Name     string   `json:"name"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
}

// Load is a load report. It describes the past: AgeMS says by how much.
type Load struct {
	// Seq increases with each report of one incarnation.
	Seq uint64 `json:"seq"`
	// AgeMS is the age of the figures when they were sent, in milliseconds.
	AgeMS int64 `json:"age_ms"`
	// Running is the number of generations in the batch.
	Running int `json:"running"`
	// Waiting is the number of generations that wait for a slot.
	Waiting int `json:"waiting"`
	// WaitingTokens is the number of prompt tokens not yet prefilled.
	WaitingTokens int `json:"waiting_tokens"`
	// KVTokens is the number of tokens held in the KV cache.
	KVTokens int `json:"kv_tokens"`
}

// Announcement registers an endpoint or renews its lease.
type Announcement struct {
	// ID names the endpoint; it is unique in the fleet.
	ID string `json:"id"`
	// Incarnation grows with each start of the endpoint process. Messages of a
	// lower incarnation are ignored.
	Incarnation uint64 `json:"incarnation"`
	// BaseURL is where daemons reach the endpoint, by IP number.
	BaseURL       string `json:"base_url"`
	FailureDomain string `json:"failure_domain"`
	Kind          Kind   `json:"kind"`
	// Service is the service name of a plain service, empty for an engine.
	Service string `json:"service,omitempty"`
	// VM is the cloud's identifier of the VM that the endpoint runs on.
	VM string `json:"vm,omitempty"`
	// Class is the machine class.
	Class  string        `json:"class,omitempty"`
	Role   Role          `json:"role,omitempty"`
	Models []LoadedModel `json:"models,omitempty"`
	State  State         `json:"state"`
	// Slots is the number of generations that the engine batches at once.
	Slots int `json:"slots"`
	// KVCapacityTokens is the size of the KV cache in tokens.
	KVCapacityTokens int         `json:"kv_capacity_tokens,omitempty"`
	Fencing          FencingMode `json:"fencing,omitempty"`
	// ChecksCaller is set where the endpoint verifies who gives it an order.
	ChecksCaller bool `json:"checks_caller,omitempty"`
	Reclaimable  bool `json:"reclaimable,omitempty"`
	// LeaseMS is how long the announcement is valid without renewal, in milliseconds.
	LeaseMS int64 `json:"lease_ms"`
	// DeadlineMS is, for a leaving endpoint, the time until it stops, in milliseconds.
	DeadlineMS int64 `json:"deadline_ms,omitempty"`
	Load       Load  `json:"load"`
	// CacheSeq is the sequence number of the newest cache event sent.
	CacheSeq uint64 `json:"cache_seq,omitempty"`
}

// AnnounceReply answers an Announcement.
type AnnounceReply struct {
	// Entries lists base URLs of entry daemons to which the endpoint can
	// announce itself when this one stops answering.
	Entries []string `json:"entries,omitempty"`
	// WantCacheReset asks for a complete list of cached blocks, because events were missed.
	WantCacheReset bool `json:"want_cache_reset,omitempty"`
}

// Withdrawal announces that an endpoint leaves.
type Withdrawal struct {
	ID          string `json:"id"`
	Incarnation uint64 `json:"incarnation"`
	// DeadlineMS is the time until the endpoint stops, in milliseconds; 0 means it has stopped.
	DeadlineMS int64  `json:"deadline_ms"`
	Reason     string `json:"reason,omitempty"`
}

// CacheEventKind is the kind of a change of the prefix cache.
type CacheEventKind string

// Kinds of cache event.
const (
	CacheAdd    CacheEventKind = "add"
	CacheRemove CacheEventKind = "remove"
	// CacheReset empties the index before the following events.
	CacheReset CacheEventKind = "reset"
)

// CacheEvent is one change of the prefix cache of an engine.
type CacheEvent struct {
	Seq  uint64         `json:"seq"`
	Kind CacheEventKind `json:"kind"`
	// Block is the chained hash of a prompt block, as PrefixHashes returns it.
	Block uint64 `json:"block,omitempty"`
}

// CacheEvents carries events in the order of their sequence numbers. Events
// can come late, and numbers can be missing.
type CacheEvents struct {
	ID          string       `json:"id"`
	Incarnation uint64       `json:"incarnation"`
	Events      []CacheEvent `json:"events"`
}
