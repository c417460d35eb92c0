package entry

import (
	"time"

	"github.com/boragelead/boragelead/api/endpoint"
	"github.com/boragelead/boragelead/internal/core/suspect"
)

// Request is a generation request of a caller.
type Request struct {
	ID        string
	Workspace string
	// Caller identifies the caller within the workspace, for fair queuing.
	Caller    string
	Rank      string
	RankIndex int

	// Chat is set for a request on the chat completions path and unset for one
	// on the completions path.
	Chat bool
	// Resumable is set when the request continues for ResumeGrace after its
	// caller disconnects.
	Resumable bool

	Model, Version, Adapter string
	Prompt                  string
	// PromptTokens is the estimated length of the prompt.
	PromptTokens int
	// MaxTokens limits the length of the answer.
	MaxTokens   int
	Stop        []string
	Temperature *float64
	TopP        *float64
	Seed        *int64
	Arrived     time.Time
	// Fingerprint is a hash of the content, used to detect requests that crash
	// endpoints.
	Fingerprint suspect.Fingerprint
	// MayHaveRun is set if another daemon may have run the request before. A refusal
	// by this daemon then does not prove that the request did not run.
	MayHaveRun bool `json:"-"`
}

// RunState returns the run state of the request, given the run state of its
// attempts by this daemon.
func (r *Request) RunState(here endpoint.RunState) endpoint.RunState {
	if r.MayHaveRun && here == endpoint.NotRun {
		return endpoint.RunUnknown
	}
	return here
}

// Sink receives the answer of a request. Each token is delivered once and in
// order. An error means that the caller has disconnected.
type Sink interface {
	Tokens(offset, count int, text string) error
	// Flush sends the buffered tokens to the caller. It is called when no
	// further token is ready.
	Flush() error
}

// Result describes a complete answer.
type Result struct {
	FinishReason string
	// Usage is the sum over all attempts. PromptTokens counts the prompt once.
	Usage endpoint.Usage
	// Attempts is the number of attempts sent to endpoints.
	Attempts int
	// RecomputedTokens is the number of tokens that later attempts computed
	// again.
	RecomputedTokens int
}
