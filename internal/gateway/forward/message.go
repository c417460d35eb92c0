package forward

import (
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"time"

	"github.com/boragelead/boragelead/internal/gateway/rules"
)

// Headers of forwarded requests and their answers, and the trailer of streams.
const (
	headerRequest = "Boragelead-Forward"
	headerReply   = "Boragelead-Forward-Reply"
	trailerEnd    = "Boragelead-Forward-End"
)

// Values of the trailer.
const (
	endComplete = "complete"
	endBroken   = "broken"
)

// maxTimeLeft limits the time for which a peer serves a request, whatever it is told.
const maxTimeLeft = 10 * time.Minute

// Request is what the entry of the caller states about a request.
type Request struct {
	// Key is the secret of the peer, which replicas give to entries only.
	Key string `json:"key"`
	// Entry is the name of the entry that has the caller.
	Entry string `json:"entry"`
	// Route is the name of the route, for logs.
	Route     string     `json:"route"`
	Kind      rules.Kind `json:"kind"`
	Resumable bool       `json:"resumable,omitempty"`
	Service   string     `json:"service"`
	// Workspace is empty for requests without a known key on anonymous routes.
	Workspace string `json:"workspace,omitempty"`
	Priority  int    `json:"priority"`
	// TimeLeftMS is the time until the deadline, TargetMS the latency target and MaxGapMS
	// the longest time between two events of a stream, in milliseconds.
	TimeLeftMS int64 `json:"time_left_ms"`
	TargetMS   int64 `json:"target_ms"`
	MaxGapMS   int64 `json:"max_gap_ms,omitempty"`
	// ResumeAfter is the ID of the event after which the endpoint must continue.
	ResumeAfter string `json:"resume_after,omitempty"`
	// SoftwareVersion is that at which the stream began; nil before the first event.
	SoftwareVersion *string `json:"software_version,omitempty"`
	// Avoid lists the endpoints that the request was sent to before.
	Avoid []string `json:"avoid,omitempty"`
}

// Reply is what the peer states about its answer.
type Reply struct {
	// Tried lists the endpoints that the request was sent to, and Attempts is how many of
	// them may have run it.
	Tried    []string `json:"tried,omitempty"`
	Attempts int      `json:"attempts,omitempty"`
	// Endpoint, Born and SoftwareVersion describe the endpoint that answered.
	// VersionUnknown is set if it may have started again at another version.
	Endpoint        string `json:"endpoint,omitempty"`
	Born            int64  `json:"born,omitempty"`
	SoftwareVersion string `json:"software_version,omitempty"`
	VersionUnknown  bool   `json:"version_unknown,omitempty"`
	// Refusal is set if no endpoint answered.
	Refusal *Refusal `json:"refusal,omitempty"`
}

// Refusal tells why a peer has no answer of an endpoint.
type Refusal struct {
	// Reason is a reason of the entry's refusals.
	Reason string `json:"reason"`
	// MayHaveRun is false only if no endpoint ran the request or will run it.
	MayHaveRun   bool   `json:"may_have_run"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
	Error        string `json:"error,omitempty"`
}

// MessageError reports a forwarded request or an answer that cannot be used.
type MessageError struct{ Problem string }

// Error implements error.
func (e *MessageError) Error() string { return "forwarded message not usable: " + e.Problem }

// Write adds the request to the headers of the caller's request.
func (r *Request) Write(header http.Header) error {
	return writeJSON(header, headerRequest, r)
}

// TakeRequest removes the request from the headers and returns it, if it carries the key.
// The error is a *MessageError.
func TakeRequest(header http.Header, key string) (*Request, error) {
	text := header.Get(headerRequest)
	header.Del(headerRequest)
	r := &Request{}
	if err := json.Unmarshal([]byte(text), r); err != nil {
		return nil, &MessageError{Problem: "request: " + err.Error()}
	}
	switch {
	case key == "" || subtle.ConstantTimeCompare([]byte(r.Key), []byte(key)) != 1:
		return nil, &MessageError{Problem: "request: wrong key"}
	case r.Service == "":
		return nil, &MessageError{Problem: "request: no service"}
	case r.Kind != rules.Idempotent && r.Kind != rules.NonIdempotent && r.Kind != rules.Streaming:
		return nil, &MessageError{Problem: "request: unknown kind"}
	case r.TimeLeftMS <= 0 || r.TimeLeft() > maxTimeLeft || r.TargetMS < 0 || r.MaxGapMS < 0:
		return nil, &MessageError{Problem: "request: time out of range"}
	}
	return r, nil
}

// TimeLeft returns the time until the deadline.
func (r *Request) TimeLeft() time.Duration { return milliseconds(r.TimeLeftMS) }

// RouteRules returns the rules under which the peer makes its single attempt.
func (r *Request) RouteRules() *rules.Route {
	return &rules.Route{
		Name: r.Route, Kind: r.Kind, Resumable: r.Resumable, Priority: r.Priority,
		Timeout: r.TimeLeft(), Target: milliseconds(r.TargetMS), MaxGap: milliseconds(r.MaxGapMS), MaxAttempts: 1,
	}
}

func milliseconds(n int64) time.Duration {
	return time.Duration(min(n, maxTimeLeft.Milliseconds()+1)) * time.Millisecond
}

// Write adds the reply to the headers of the answer. It replaces one that the endpoint
// wrote.
func (r *Reply) Write(header http.Header) error {
	return writeJSON(header, headerReply, r)
}

// TakeReply removes the reply from the headers of an answer and returns it. The error is a
// *MessageError.
func TakeReply(header http.Header) (*Reply, error) {
	text := header.Get(headerReply)
	header.Del(headerReply)
	r := &Reply{}
	if err := json.Unmarshal([]byte(text), r); err != nil {
		return nil, &MessageError{Problem: "reply: " + err.Error()}
	}
	if r.Refusal == nil && r.Endpoint == "" {
		return nil, &MessageError{Problem: "reply: neither an endpoint nor a refusal"}
	}
	return r, nil
}

func writeJSON(header http.Header, name string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return &MessageError{Problem: err.Error()}
	}
	header.Set(name, string(data))
	return nil
}

// AnnounceEnd declares the trailer of a stream, before its headers are written.
func AnnounceEnd(header http.Header) { header.Set("Trailer", trailerEnd) }

// WriteEnd sets the trailer of a stream at its end.
func WriteEnd(header http.Header, complete bool) {
	header.Set(trailerEnd, endBroken)
	if complete {
		header.Set(trailerEnd, endComplete)
	}
}

// IsComplete reports whether the trailer of a stream that has ended says that the endpoint
// wrote all of it.
func IsComplete(trailer http.Header) bool { return trailer.Get(trailerEnd) == endComplete }
