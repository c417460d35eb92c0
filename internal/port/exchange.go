package port

import (
	"net/http"
	"strconv"
	"time"
)

// PromptPart is a part of a prompt that several requests may share.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// RequestMeta is the information in the headers of a caller's request.
type RequestMeta struct {
	// AttemptID is unique for each attempt of the caller.
	AttemptID string
	// Key is the secret key of the caller's workspace.
	Key string
	// Deadline is how long the caller waits; 0 means that the caller gave no
	// deadline.
	Deadline time.Duration
	// HasTokenCounts is set if PromptTokens and MaxOutputTokens are known.
	HasTokenCounts  bool
	PromptTokens    int
	MaxOutputTokens int
	Prefix          []PromptPart
	// ResumeAfter is the ID of the last event that the caller received.
	ResumeAfter string
	// FirstAttempt is the ID of the attempt that received the first event of the
	// stream that the request continues; empty if the request does not name it.
	FirstAttempt string
}

// Dispatch is the information that the gateway adds to a request for an
// endpoint.
type Dispatch struct {
	EndpointID string
	// Workspace replaces the caller's key; empty if there is no workspace.
	Workspace string
	// Deadline is the remaining time until the caller's deadline.
	Deadline time.Duration
	// Priority is the rank, where 0 is the most urgent. A negative value
	// selects the default of the endpoint.
	Priority int
	// ResumeAfter is the ID of the event after which the endpoint must
	// continue.
	ResumeAfter string
	// KVHandle names the copied KV cache of a moved run; empty if the run was not
	// moved.
	KVHandle string
}

// Move asks an endpoint to stop a run and to copy the KV cache of the run to
// another endpoint.
type Move struct {
	EndpointID string
	AttemptID  string
	// To is the address (IP:port) of the endpoint that receives the copy.
	To string
	// From is the address of the endpoint that runs the request.
	From string
}

// EndpointCall is a call that the gateway itself makes to an endpoint.
type EndpointCall struct {
	Method, Target string
	Header         http.Header
	Body           []byte
}

// MoveEffect is what the order to move a run did to the run.
type MoveEffect int

// Effects of the order to move a run.
const (
	// MoveNone states that the order did not stop the run: it was not sent.
	MoveNone MoveEffect = iota
	// MoveNoRun states that the order did not stop the run, because it had ended by itself.
	MoveNoRun
	// MoveDone states that the run was stopped and its KV cache copied to the other endpoint.
	MoveDone
	// MoveKept states that the run was stopped and its KV cache is kept at its endpoint.
	MoveKept
	// MoveBusy states that an earlier order for the run is still being carried out.
	MoveBusy
	// MoveUncertain states that the run may have been stopped, now or later.
	MoveUncertain
)

// String returns the name of the effect, for logs.
func (e MoveEffect) String() string {
	return [...]string{"none", "no run", "done", "kept", "busy", "uncertain"}[e]
}

// MoveAnswer is the answer of an endpoint to the order to move a run.
type MoveAnswer struct {
	Effect MoveEffect
	// KVHandle names the KV cache from which the run can go on, for Dispatch. It is set for
	// MoveDone and MoveKept.
	KVHandle string
}

// MoveError reports that an endpoint did not move a run.
type MoveError struct {
	EndpointID string
	Status     int
}

// Error implements error.
func (e *MoveError) Error() string {
	return "endpoint " + e.EndpointID + " did not move a run, status " + strconv.Itoa(e.Status)
}

// EndpointLoad is the load that an endpoint reports in an answer.
type EndpointLoad struct {
	Running, Waiting, Slots int
	// Slowdown is the ratio of the time that work takes at the endpoint at present to the
	// usual one, because others use the same VM; 0 if the endpoint does not tell it.
	Slowdown float64
}

// AnswerMeta is the information in the status and headers of an endpoint's
// answer.
type AnswerMeta struct {
	// AttemptID identifies the request that the answer belongs to; empty if the
	// answer does not name it.
	AttemptID string
	// NotRun is set if the endpoint proves that it did not run the request and
	// will not run it.
	NotRun bool
	// NoCapacity is set if the endpoint did not run the request because it has no
	// free capacity.
	NoCapacity bool
	// Misdirected is set if the address now belongs to another endpoint.
	Misdirected bool
	// Sealed is set if the answer comes from the program of the endpoint
	// itself.
	Sealed bool
	// Load is nil if the answer contains no load report.
	Load *EndpointLoad
	// InvalidLoad is the text of a load report of which at least one figure cannot be
	// used; empty if there is none.
	InvalidLoad string
	// RateLimit is how many requests per second the endpoint takes from all entries
	// together; nil if the answer names no limit.
	RateLimit *float64
	// InvalidRateLimit is the text of a limit that cannot be used; empty if there is
	// none.
	InvalidRateLimit string
	// Brittle is how many rejected requests a second the endpoint bears from all entries
	// before it fails; 0 if the answer does not say that it is brittle.
	Brittle float64
	// InvalidBrittle is the text of such a number that cannot be used; empty if there is
	// none.
	InvalidBrittle string
	// Leaving is set if the endpoint is about to shut down and wants no new requests.
	Leaving bool
	// Backoff is how long the endpoint wants no request of this entry; 0 if the answer
	// does not say so.
	Backoff time.Duration
	// InvalidBackoff is the text of a back-off that cannot be used; empty if there is
	// none.
	InvalidBackoff string
}

// Dialect reads and writes the headers with which callers, gateway and
// endpoints exchange information beside the body. Implementations are
// stateless.
type Dialect interface {
	// ParseRequest reads the headers of a caller's request.
	ParseRequest(header http.Header) RequestMeta
	// Dispatch converts the headers of a caller's request to those for an
	// endpoint. It removes the headers that are meant for the gateway only.
	Dispatch(header http.Header, d Dispatch)
	// ParseAnswer reads the status and the headers of an endpoint's answer.
	ParseAnswer(status int, header http.Header) AnswerMeta
	// MoveCall returns the call that moves a run. The error is a *MoveError.
	MoveCall(m Move) (EndpointCall, error)
	// ParseMoveAnswer reads the answer of that call. The error is a *MoveError unless the
	// effect is MoveDone.
	ParseMoveAnswer(m Move, status int, body []byte) (MoveAnswer, error)
	// ReleaseCall returns the call that frees a copied KV cache that is no longer
	// needed. The call goes to the endpoint that ran the request.
	ReleaseCall(m Move, kvHandle string) EndpointCall
}
