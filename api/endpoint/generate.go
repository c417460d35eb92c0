package endpoint

// HTTP headers of the endpoint protocol.
const (
	// HeaderAttempt carries the attempt ID to plain services.
	HeaderAttempt = "X-Boragelead-Attempt"
	// HeaderKey carries the caller's idempotency key to plain services. It is
	// not named Idempotency-Key, because net/http retries requests with that
	// header on its own.
	HeaderKey = "X-Boragelead-Key"
	// HeaderRun is set to NotRun by a plain service in the answer to a call that it did not run.
	HeaderRun = "X-Boragelead-Run"
	// HeaderController carries the token that engines with
	// Announcement.ChecksCaller require in orders.
	HeaderController = "X-Boragelead-Controller"
)

// GenerateRequest starts a generation or resumes one.
type GenerateRequest struct {
	// AttemptID is unique for each attempt and is repeated in every frame.
	AttemptID string `json:"attempt_id"`
	RequestID string `json:"request_id"`
	Model     string `json:"model"`
	Version   string `json:"version,omitempty"`
	Adapter   string `json:"adapter,omitempty"`
	// Prompt is the complete prompt text.
	Prompt string `json:"prompt"`
	// Emitted is the text that earlier attempts generated.
	Emitted string `json:"emitted,omitempty"`
	// EmittedTokens is the number of tokens in Emitted, which is the offset of
	// the first new token.
	EmittedTokens int `json:"emitted_tokens,omitempty"`
	// MaxTokens limits the length of the complete answer, including the emitted tokens.
	MaxTokens int `json:"max_tokens"`
	// Priority orders queued generations; a lower number is served first.
	Priority int `json:"priority"`
	// KVHandle identifies an imported KV cache from which to continue.
	KVHandle string `json:"kv_handle,omitempty"`

	Stop        []string `json:"stop,omitempty"`
	Temperature *float64 `json:"temperature,omitempty"`
	TopP        *float64 `json:"top_p,omitempty"`
	Seed        *int64   `json:"seed,omitempty"`
}

// FrameType is the type of a frame in the answer stream of a generation.
type FrameType string

// Types of frame.
const (
	// FrameTokens carries generated tokens.
	FrameTokens FrameType = "tokens"
	// FrameDone ends the stream of a complete generation.
	FrameDone FrameType = "done"
	// FrameError ends the stream of a generation that failed in the engine.
	FrameError FrameType = "error"
	// FramePing is a keep-alive sent while a generation has no new tokens.
	FramePing FrameType = "ping"
)

// Frame is one line of the stream that answers a GenerateRequest.
type Frame struct {
	AttemptID string    `json:"a"`
	Type      FrameType `json:"t"`
	// Offset is the index of the first token of the frame in the complete answer.
	Offset int `json:"o"`
	// Count is the number of tokens in Text.
	Count int    `json:"n,omitempty"`
	Text  string `json:"x,omitempty"`

	FinishReason string `json:"finish,omitempty"`
	Usage        *Usage `json:"usage,omitempty"`
	Error        string `json:"error,omitempty"`
	// Code classifies the failure in a FrameError.
	Code ErrorCode `json:"code,omitempty"`
	// Run is set in a FrameError. NotRun means that the engine dropped the
	// generation while it was queued for a slot.
	Run RunState `json:"run,omitempty"`
}

// Usage counts the tokens of one attempt.
type Usage struct {
	// PromptTokens counts the input tokens of the attempt: the prompt and, for a
	// resumed generation, the tokens emitted earlier.
	PromptTokens int `json:"prompt_tokens"`
	// CachedTokens is the part of PromptTokens that came from the prefix cache
	// or from an imported KV cache.
	CachedTokens int `json:"cached_tokens"`
	// GeneratedTokens counts the tokens that this attempt generated.
	GeneratedTokens int `json:"generated_tokens"`
}

// CancelRequest stops an attempt.
type CancelRequest struct {
	AttemptID string `json:"attempt_id"`
}

// KVExportRequest asks an engine to make the KV cache of an attempt available
// to other engines.
type KVExportRequest struct {
	AttemptID string `json:"attempt_id"`
}

// KVHandle identifies an exported KV cache.
type KVHandle struct {
	Handle string `json:"handle"`
	// Tokens is the number of tokens that the KV cache covers.
	Tokens int `json:"tokens"`
	// Bytes is the size of the KV cache in bytes.
	Bytes int64 `json:"bytes"`
}

// KVImportRequest asks an engine to fetch an exported KV cache from another engine.
type KVImportRequest struct {
	SourceURL string `json:"source_url"`
	Handle    string `json:"handle"`
	Tokens    int    `json:"tokens"`
	Bytes     int64  `json:"bytes"`
}

// OrderKind is the action that an Order requests.
type OrderKind string

// Kinds of order. Each specifies a desired state, so that an order can safely be repeated.
const (
	OrderLoadModel     OrderKind = "load_model"
	OrderUnloadModel   OrderKind = "unload_model"
	OrderLoadAdapter   OrderKind = "load_adapter"
	OrderUnloadAdapter OrderKind = "unload_adapter"
	OrderSetRole       OrderKind = "set_role"
	OrderDrain         OrderKind = "drain"
)

// Order instructs an engine to load or unload weights, change its role or drain.
type Order struct {
	// OrderID identifies the order, so that a repetition can be recognised.
	OrderID string `json:"order_id"`
	// FencingNumber increases with each controller lease.
	FencingNumber uint64    `json:"fencing_number"`
	Kind          OrderKind `json:"kind"`
	Model         string    `json:"model,omitempty"`
	Version       string    `json:"version,omitempty"`
	Adapter       string    `json:"adapter,omitempty"`
	Role          Role      `json:"role,omitempty"`
}

// OrderResult answers an Order.
type OrderResult struct {
	// Done is set when the desired state is reached. Otherwise the engine is
	// still working towards it.
	Done bool `json:"done"`
}

// RunState reports whether an endpoint ran a request.
type RunState string

// Run states. NotRun is reported only if it is certain that the request was not run.
const (
	NotRun     RunState = "not_run"
	RunUnknown RunState = "unknown"
)

// ErrorCode classifies a refusal by an endpoint.
type ErrorCode string

// Error codes of endpoints.
const (
	CodeOverloaded   ErrorCode = "overloaded"
	CodeLeaving      ErrorCode = "leaving"
	CodeNoModel      ErrorCode = "model_not_loaded"
	CodeBadRequest   ErrorCode = "bad_request"
	CodeStaleFencing ErrorCode = "stale_fencing_number"
	CodeNoKV         ErrorCode = "kv_not_found"
	CodeInternal     ErrorCode = "internal"
	// CodeUnauthorized rejects an order with a missing or wrong HeaderController.
	CodeUnauthorized ErrorCode = "unauthorized"
)

// ErrorBody is the JSON body of a refusal by an endpoint.
type ErrorBody struct {
	Code    ErrorCode `json:"code"`
	Message string    `json:"message"`
	Run     RunState  `json:"run"`
}
