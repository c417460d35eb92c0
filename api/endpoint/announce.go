package endpoint

// Kind distinguishes model engines from plain services.
type Kind string

// Kinds of endpoint.
const (
	KindEngine  Kind = "engine"
	KindService Kind = "service"
)

// Role is the phase of a generation that an engine performs: prefill, decode or both.
type Role string

// Roles of an engine.
const (
	RoleBoth    Role = "both"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// State is the life-cycle state that an endpoint reports about itself.
type State string

// States of an endpoint. Only a ready endpoint receives new work.
const (
	StateLoading State = "loading"
	StateReady   State = "ready"
	StateLeaving State = "leaving"
)

// FencingMode specifies how an endpoint handles an order with an outdated fencing number.
type FencingMode string

// Fencing modes.
const (
	FencingEnforced FencingMode = "enforced"
	FencingIgnored  FencingMode = "ignored"
)

// LoadedModel is a model version that an engine has loaded, with its adapters.
type LoadedModel struct {
	Name     string   `json:"name"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
}

// Load is a load report. Its figures were sampled AgeMS before the report was sent.
type Load struct {
	// Seq increases with each report within an incarnation.
	Seq uint64 `json:"seq"`
	// AgeMS is the age of the figures at the time of sending, in milliseconds.
	AgeMS int64 `json:"age_ms"`
	// Running is the number of generations in the running batch.
	Running int `json:"running"`
	// Waiting is the number of generations queued for a slot.
	Waiting int `json:"waiting"`
	// WaitingTokens is the number of prompt tokens not yet prefilled.
	WaitingTokens int `json:"waiting_tokens"`
	// KVTokens is the number of tokens stored in the KV cache.
	KVTokens int `json:"kv_tokens"`
}

// Announcement registers an endpoint or renews its lease.
type Announcement struct {
	// ID identifies the endpoint uniquely in the fleet.
	ID string `json:"id"`
	// Incarnation increases with each start of the endpoint process. Daemons
	// ignore messages of a lower incarnation than the latest one known.
	Incarnation uint64 `json:"incarnation"`
	// BaseURL is the URL at which daemons reach the endpoint; its host is an IP address.
	BaseURL       string `json:"base_url"`
	FailureDomain string `json:"failure_domain"`
	Kind          Kind   `json:"kind"`
	// Service is the service name of a plain service. It is empty for an engine.
	Service string `json:"service,omitempty"`
	// VM is the ID that the cloud assigned to the VM on which the endpoint runs.
	VM string `json:"vm,omitempty"`
	// Class is the machine class.
	Class  string        `json:"class,omitempty"`
	Role   Role          `json:"role,omitempty"`
	Models []LoadedModel `json:"models,omitempty"`
	State  State         `json:"state"`
	// Slots is the maximum number of generations in the running batch.
	Slots int `json:"slots"`
	// KVCapacityTokens is the capacity of the KV cache in tokens.
	KVCapacityTokens int         `json:"kv_capacity_tokens,omitempty"`
	Fencing          FencingMode `json:"fencing,omitempty"`
	// ChecksCaller is set if the endpoint authenticates the sender of an order.
	ChecksCaller bool `json:"checks_caller,omitempty"`
	Reclaimable  bool `json:"reclaimable,omitempty"`
	// LeaseMS is the time after which the announcement expires unless it is
	// renewed, in milliseconds.
	LeaseMS int64 `json:"lease_ms"`
	// DeadlineMS is the time until a leaving endpoint stops, in milliseconds.
	DeadlineMS int64 `json:"deadline_ms,omitempty"`
	Load       Load  `json:"load"`
	// CacheSeq is the sequence number of the last cache event sent.
	CacheSeq uint64 `json:"cache_seq,omitempty"`
}

// AnnounceReply answers an Announcement.
type AnnounceReply struct {
	// Entries lists the base URLs of entry daemons to which the endpoint can
	// announce itself if the current one stops answering.
	Entries []string `json:"entries,omitempty"`
	// WantCacheReset requests the complete list of cached blocks. It is set when
	// the entry daemon has missed cache events.
	WantCacheReset bool `json:"want_cache_reset,omitempty"`
}

// Withdrawal announces that an endpoint will stop or has stopped.
type Withdrawal struct {
	ID          string `json:"id"`
	Incarnation uint64 `json:"incarnation"`
	// DeadlineMS is the time until the endpoint stops, in milliseconds; 0 means it has stopped.
	DeadlineMS int64  `json:"deadline_ms"`
	Reason     string `json:"reason,omitempty"`
}

// CacheEventKind is the kind of a change to the prefix cache.
type CacheEventKind string

// Kinds of cache event.
const (
	CacheAdd    CacheEventKind = "add"
	CacheRemove CacheEventKind = "remove"
	// CacheReset tells the receiver to clear its index before it applies the
	// events that follow.
	CacheReset CacheEventKind = "reset"
)

// CacheEvent describes one change to the prefix cache of an engine.
type CacheEvent struct {
	Seq  uint64         `json:"seq"`
	Kind CacheEventKind `json:"kind"`
	// Block is the chained hash of a prompt block, as PrefixHashes returns it.
	Block uint64 `json:"block,omitempty"`
}

// CacheEvents carries events in the order of their sequence numbers. Events
// can arrive late, and sequence numbers can be missing if events were lost.
type CacheEvents struct {
	ID          string       `json:"id"`
	Incarnation uint64       `json:"incarnation"`
	Events      []CacheEvent `json:"events"`
}
