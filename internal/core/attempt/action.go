package attempt

import "github.com/boragelead/boragelead/api/endpoint"

// Kind tells actions apart.
type Kind uint8

// Kinds of action.
const (
	// Ask asks for an attempt; the answer is Granted or Denied.
	Ask Kind = iota + 1
	// Send asks to send an attempt to an endpoint. Sent is called right before
	// that and gives the point to resume from.
	Send
	// Deliver hands tokens to the caller.
	Deliver
	// Cancel ends an attempt whose frames are not wanted any more.
	Cancel
	// Finish ends a whole answer. It is the last action.
	Finish
	// Fail ends the request without a whole answer. It is the last action.
	Fail
)

// Reason says why an attempt is asked for.
type Reason uint8

// Reasons of Ask.
const (
	// First is the first attempt of the request.
	First Reason = iota + 1
	// Retry follows a failure before any token was delivered.
	Retry
	// Resume follows a failure after tokens were delivered.
	Resume
	// Handover is planned: the old attempt goes on until the new one generates.
	Handover
)

// Action is what the caller of the machine must do.
type Action struct {
	Kind Kind
	// Attempt and Endpoint are set for Send and Cancel.
	Attempt, Endpoint string
	// Source is set for a Send that takes over: the running attempt from which
	// the KV cache can be exported, and its endpoint.
	Source, SourceEndpoint string

	// Reason is set for Ask; Cause for Ask and Fail.
	Reason Reason
	Cause  error

	// Offset is set for Deliver, and for Ask as the number of tokens delivered so far.
	Offset int
	Count  int
	Text   string

	// FinishReason and Usage are set for Finish. Usage is that of the attempt
	// that ended the answer and may be nil.
	FinishReason string
	Usage        *endpoint.Usage
	// Run is set for Fail.
	Run endpoint.RunState
}

// Stats counts what happened to a request.
type Stats struct {
	// Attempts counts the attempts that were sent.
	Attempts int
	// RecomputedTokens counts the prompt and emitted tokens of attempts after
	// the first one that may have run, prefix caches not considered.
	RecomputedTokens int
	// Dropped counts frames of other attempts and repeated frames.
	Dropped int
	// Takeovers counts handovers in which the new attempt generated, or was at
	// least sent, when the old one ended.
	Takeovers int
}
