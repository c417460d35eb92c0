package entry

import (
	"time"

	"github.com/boragelead/boragelead/api/endpoint"
	"github.com/boragelead/boragelead/internal/core/suspect"
)

// Request is a generation that a caller asked for.
type Request struct {
	ID        string
	Workspace string
	// Caller names the caller within the workspace, for fairness.
	Caller    string
	Rank      string
	RankIndex int

	// Chat tells the two completion paths apart.
	Chat bool
	// Resumable requests go on for a grace period when the caller disconnects.
	Resumable bool

	Model, Version, Adapter string
	Prompt                  string
	// PromptTokens is an estimate.
	PromptTokens int
	// MaxTokens bounds the answer.
	MaxTokens   int
	Stop        []string
	Temperature *float64
	TopP        *float64
	Seed        *int64
	Arrived     time.Time
	// Fingerprint identifies the content, to find requests that crash endpoints.
	Fingerprint suspect.Fingerprint
}

// Sink receives the answer of a request. Each token comes once and in order.
// An error means that the caller is gone.
type Sink interface {
	Tokens(offset, count int, text string) error
	// Flush sends what Tokens took. It is called when no further token is at hand.
	Flush() error
}

// Result describes a whole answer.
type Result struct {
	FinishReason string
	// Usage sums all attempts; PromptTokens counts the prompt once.
	Usage endpoint.Usage
	// Attempts counts the attempts made.
	Attempts int
	// RecomputedTokens counts tokens that later attempts computed again.
	RecomputedTokens int
}
