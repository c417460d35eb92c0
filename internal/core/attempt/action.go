package attempt

import "github.com/boragelead/boragelead/api/endpoint"

// Kind is the type of an action.
type Kind uint8

// Kinds of action.
const (
	// Ask requests a further attempt. The caller of the machine answers with
	// Granted or Denied.
	Ask Kind = iota + 1
	// Send requests that an attempt is sent to an endpoint. The caller of the
	// machine calls Sent immediately before it sends the attempt. Sent returns
	// the position to resume from.
	Send
	// Deliver passes tokens to the caller.
	Deliver
	// Cancel ends an attempt whose frames are no longer needed.
	Cancel
	// Finish ends the request with a complete answer. It is the last action.
	Finish
	// Fail ends the request without a complete answer. It is the last action.
	Fail
)

// Reason is the reason why an attempt is requested.
type Reason uint8

// Reasons of Ask.
const (
	// First is the first attempt of the request.
	First Reason = iota + 1
	// Retry follows a failure before any token was delivered.
	Retry
	// Resume follows a failure after tokens were delivered.
	Resume
	// Handover replaces an attempt whose endpoint is about to be reclaimed. The
	// old attempt continues until the new one generates tokens.
	Handover
)

// Action is an operation that the caller of the machine must perform.
type Action struct {
	Kind Kind
	// Attempt and Endpoint are set for Send and Cancel.
	Attempt, Endpoint string
	// Source and SourceEndpoint are set for a Send in a hand-over. They are the
	// running attempt from which the KV cache can be exported, and its endpoint.
	Source, SourceEndpoint string

	// Reason is set for Ask, and Cause for Ask and Fail.
	Reason Reason
	Cause  error
	// Silent is set for Ask if the attempt to be replaced still runs and is only
	// silent.
	Silent bool

	// Offset is set for Deliver as the position of its first token, and for Ask
	// as the number of tokens delivered so far.
	Offset int
	Count  int
	Text   string

	// FinishReason and Usage are set for Finish. Usage is the usage of the attempt
	// that completed the answer and may be nil.
	FinishReason string
	Usage        *endpoint.Usage
	// Run is set for Fail.
	Run endpoint.RunState
}

// Stats holds the counters of a request.
type Stats struct {
	// Attempts counts the attempts that were sent.
	Attempts int
	// RecomputedTokens counts the prompt tokens and the tokens delivered before,
	// for each attempt that follows one which may have run. Prefix caches are not
	// taken into account.
	RecomputedTokens int
	// Dropped counts the frames that were dropped because they were repeated or
	// belonged to another attempt.
	Dropped int
	// Takeovers counts hand-overs in which the new attempt had generated a token,
	// or had at least been sent, when the old one ended.
	Takeovers int
}
