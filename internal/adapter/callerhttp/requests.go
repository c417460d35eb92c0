package callerhttp

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/boragelead/boragelead/internal/entry"
)

const (
	headerLastEventID = "Last-Event-ID"
	// HeaderForwarded marks a request that another daemon passed on, so that it is passed on once at most.
	HeaderForwarded = "X-Boragelead-Forwarded"
)

// Journals finds the journals of requests.
type Journals interface {
	// Get returns the journal of a request that this daemon holds, or nil.
	Get(id string) *entry.Journal
	// Locate returns the base URL of the daemon that holds a request, or "".
	Locate(ctx context.Context, id string) string
}

// resume continues the stream of a request after the event ID that the
// caller saw last, or returns the whole answer when the caller asks for JSON.
func (s *Server) resume(w http.ResponseWriter, r *http.Request) {
	if err := requireMethod(r, http.MethodGet); err != nil {
		writeError(w, "", err)
		return
	}
	id := r.PathValue("id")
	w.Header().Set(headerRequestID, id)
	who, err := s.authenticate(r)
	if err != nil {
		writeError(w, id, err)
		return
	}
	offset, err := lastEventID(r)
	if err != nil {
		writeError(w, id, err)
		return
	}
	journal := s.Journals.Get(id)
	if journal == nil || journal.Read(0).MovedTo != "" {
		s.resumeElsewhere(w, r, id)
		return
	}
	if journal.Request().Workspace != who.workspace.Name {
		writeError(w, id, unknownRequest(id))
		return
	}
	s.follow(w, r, journal, offset)
}

func unknownRequest(id string) error {
	return &requestError{status: http.StatusNotFound, kind: "invalid_request_error", code: "request_not_found", message: fmt.Sprintf("no request %q is known", id)}
}

func lastEventID(r *http.Request) (int, error) {
	value := r.Header.Get(headerLastEventID)
	if value == "" {
		return 0, nil
	}
	offset, err := strconv.Atoi(value)
	if err != nil || offset < 0 {
		return 0, invalid("invalid_event_id", "", "Last-Event-ID must be an event ID of the stream")
	}
	return offset, nil
}

// resumeElsewhere passes the request on to the daemon that holds the journal.
func (s *Server) resumeElsewhere(w http.ResponseWriter, r *http.Request, id string) {
	if r.Header.Get(HeaderForwarded) != "" {
		writeError(w, id, unknownRequest(id))
		return
	}
	base := s.Journals.Locate(r.Context(), id)
	if base == "" {
		writeError(w, id, unknownRequest(id))
		return
	}
	if !s.forward(w, r, base, nil) {
		writeError(w, id, &requestError{status: http.StatusServiceUnavailable, kind: "server_error", code: "holder_unreachable", message: "the daemon that holds the request does not answer; ask again"})
	}
}

// follow sends a journal as it grows. The caller counts as a reader meanwhile.
func (s *Server) follow(w http.ResponseWriter, r *http.Request, journal *entry.Journal, offset int) {
	journal.Attach()
	defer func() { journal.Detach(time.Now(), entry.ResumeGrace) }()
	req := journal.Request()
	reply := newReply(w, styleOf(req), &completionRequest{Stream: wantsStream(r)}, req)
	reply.resumedAt = offset
	for {
		snapshot := journal.Read(offset)
		if snapshot.Chunk.Count > 0 {
			if reply.Tokens(snapshot.Chunk.Offset, snapshot.Chunk.Count, snapshot.Chunk.Text) != nil || reply.Flush() != nil {
				return
			}
			offset = snapshot.Chunk.Offset + snapshot.Chunk.Count
			continue
		}
		if snapshot.Ended {
			endFollow(reply, snapshot)
			return
		}
		select {
		case <-snapshot.Changed:
		case <-r.Context().Done():
			return
		}
	}
}

func endFollow(reply *reply, snapshot entry.Snapshot) {
	switch {
	case snapshot.MovedTo != "":
		reply.moved()
	case snapshot.Err != nil:
		reply.fail(snapshot.Err)
	default:
		reply.finish(snapshot.Result)
	}
}

func wantsStream(r *http.Request) bool {
	return r.Header.Get(headerLastEventID) != "" || r.Header.Get("Accept") == "text/event-stream"
}

func styleOf(req *entry.Request) style {
	if req.Chat {
		return chatStyle{}
	}
	return textStyle{}
}

// moved tells the caller that a peer continues the request: before the first
// byte by a redirect to the request, inside a stream by an event.
func (r *reply) moved() {
	location := "/v1/requests/" + r.req.ID
	if !r.started {
		r.writer.Header().Set("Location", location)
		r.writer.WriteHeader(http.StatusSeeOther)
		return
	}
	data, _ := json.Marshal(movedBody{Location: location, RequestID: r.req.ID})
	r.buffer = append(r.buffer, "event: moved\ndata: "...)
	r.buffer = append(r.buffer, data...)
	r.buffer = append(r.buffer, "\n\n"...)
	_ = r.Flush()
}

// movedBody is the data of the event that ends a stream which a peer continues.
type movedBody struct {
	Location  string `json:"location"`
	RequestID string `json:"request_id"`
}

// isMoved reports whether a request ended here because a peer took it over.
func isMoved(err error) bool {
	var moved *entry.MovedError
	return errors.As(err, &moved)
}
