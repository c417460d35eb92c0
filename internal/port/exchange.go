package port

import (
	"net/http"
	"strconv"
	"time"
)

// PromptPart is a part of a prompt that requests may share.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// ExchangeMeta is what a caller's request says of itself in its headers.
type ExchangeMeta struct {
	// AttemptID is unique for each attempt of the caller.
	AttemptID string
	// Key is the secret of the caller's workspace.
	Key string
	// Deadline is how long the caller waits; 0 means it did not say.
	Deadline time.Duration
	// PromptTokens and MaxOutputTokens are known where CountsTokens is set.
	CountsTokens    bool
	PromptTokens    int
	MaxOutputTokens int
	Prefix          []PromptPart
	// ResumeAfter is the ID of the last event that the caller has.
	ResumeAfter string
}

// Dispatch is what the gateway adds to a request for an endpoint.
type Dispatch struct {
	EndpointID string
	// Workspace replaces the caller's key; empty without one.
	Workspace string
	// Deadline is the time left.
	Deadline time.Duration
	// Priority is the rank, 0 being the most urgent; negative leaves the endpoint's default.
	Priority int
	// ResumeAfter makes the endpoint go on after an event.
	ResumeAfter string
	// Memory names the copy of the memory of a moved run; empty without one.
	Memory string
}

// Move asks an endpoint to stop a run and to copy its memory to another one.
type Move struct {
	EndpointID string
	AttemptID  string
	// To is the address of the other endpoint, IP:port.
	To string
	// From is the address of the endpoint that runs the request.
	From string
}

// EndpointCall is a call of the gateway's own to an endpoint.
type EndpointCall struct {
	Method, Target string
	Header         http.Header
	Body           []byte
}

// MoveError says that an endpoint did not move a run.
type MoveError struct {
	EndpointID string
	Status     int
}

// Error implements error.
func (e *MoveError) Error() string {
	return "endpoint " + e.EndpointID + " did not move a run, status " + strconv.Itoa(e.Status)
}

// EndpointLoad is what an endpoint says of its load in an answer.
type EndpointLoad struct {
	Running, Waiting, Slots int
}

// AnswerMeta is what an endpoint's answer says of itself.
type AnswerMeta struct {
	// AttemptID is the request that the answer belongs to; empty if not said.
	AttemptID string
	// NotRun is the endpoint's proof that it did not and will not run the request.
	NotRun bool
	// Full is set where it did not run the request for want of room.
	Full bool
	// OtherEndpoint is set where another endpoint has the address now.
	OtherEndpoint bool
	// Sealed is set on answers of the endpoint's own program.
	Sealed bool
	// Load is nil where the answer carries none.
	Load *EndpointLoad
}

// Dialect reads and writes the headers by which callers, gateway and endpoints
// tell what they need beside the body. Implementations keep no state.
type Dialect interface {
	Meta(header http.Header) ExchangeMeta
	// Dispatch changes the headers of a caller, without those that end at the
	// gateway, into those for an endpoint.
	Dispatch(header http.Header, d Dispatch)
	Answer(status int, header http.Header) AnswerMeta
	// Move returns the call that moves a run, and Moved reads its answer: the
	// name of the copy for Dispatch. The error is a *MoveError.
	Move(m Move) (EndpointCall, error)
	Moved(m Move, status int, body []byte) (memory string, err error)
	// Release returns the call, to the endpoint that ran the request, that
	// frees a copy which is not needed any more.
	Release(m Move, memory string) EndpointCall
}
