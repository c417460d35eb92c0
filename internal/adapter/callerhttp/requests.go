package callerhttp

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/boragelead/boragelead/api/endpoint"
	"github.com/boragelead/boragelead/internal/entry"
)

const (
	headerLastEventID = "Last-Event-ID"
	// HeaderForwarded is set on a request that another daemon forwarded, so that
	// a request is forwarded at most once.
	HeaderForwarded = "X-Boragelead-Forwarded"
)

// Journals looks up the journals of requests.
type Journals interface {
	// Get returns the journal of a request if this daemon has it, else nil.
	Get(id string) *entry.Journal
	// Locate returns the base URL of the daemon that has the journal of a
	// request, or "" if none is found.
	Locate(ctx context.Context, id string) string
}

// handleResume continues the stream of a request after the last event ID that
// the caller received, or returns the complete answer if the caller asks for JSON.
func (s *Server) handleResume(w http.ResponseWriter, r *http.Request) {
	if err := requireMethod(r, http.MethodGet); err != nil {
		writeError(w, "", err)
		return
	}
	id := r.PathValue("id")
	w.Header().Set(headerRequestID, id)
	ident, err := s.authenticate(r)
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
		s.forwardResume(w, r, id)
		return
	}
	if journal.Request().Workspace != ident.workspace.Name {
		writeError(w, id, requestNotFound(id))
		return
	}
	s.follow(w, r, journal, offset)
}

func requestNotFound(id string) error {
	return &requestError{status: http.StatusNotFound, kind: "invalid_request_error", code: "request_not_found", message: fmt.Sprintf("no request %q is known", id)}
}

func lastEventID(r *http.Request) (int, error) {
	value := r.Header.Get(headerLastEventID)
	if value == "" {
		return 0, nil
	}
	offset, err := strconv.Atoi(value)
	if err != nil || offset < 0 {
		return 0, invalidRequest("invalid_event_id", "", "Last-Event-ID must be an event ID of the stream")
	}
	return offset, nil
}

// forwardResume forwards the request to the daemon that has the journal.
func (s *Server) forwardResume(w http.ResponseWriter, r *http.Request, id string) {
	if r.Header.Get(HeaderForwarded) != "" {
		writeError(w, id, requestNotFound(id))
		return
	}
	baseURL := s.Journals.Locate(r.Context(), id)
	if baseURL == "" {
		writeError(w, id, requestNotFound(id))
		return
	}
	if s.forward(w, r, baseURL, nil) != forwardAnswered {
		writeError(w, id, &requestError{status: http.StatusServiceUnavailable, kind: "server_error", code: "holder_unreachable", message: "the daemon that holds the request does not answer; ask again"})
	}
}

// follow sends the tokens of a journal from an offset on, until the journal
// ends or the caller disconnects, which breaks the answer off. Meanwhile the caller is attached as a reader.
func (s *Server) follow(w http.ResponseWriter, r *http.Request, journal *entry.Journal, offset int) {
	journal.Attach()
	defer func() { journal.Detach(time.Now(), entry.ResumeGrace) }()
	req := journal.Request()
	reply := newReply(w, formatOf(req), &completionRequest{Stream: wantsStream(r)}, req)
	reply.resumeOffset = offset
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
			sendOutcome(reply, snapshot)
			return
		}
		select {
		case <-snapshot.Changed:
		case <-r.Context().Done():
			// The caller may still read. A return would end the answer in order.
			panic(http.ErrAbortHandler)
		}
	}
}

func sendOutcome(reply *reply, snapshot entry.Snapshot) {
	switch {
	case snapshot.MovedTo != "":
		reply.reportMoved()
	case snapshot.Err != nil:
		reply.fail(snapshot.Err)
	default:
		reply.finish(snapshot.Result)
	}
}

func wantsStream(r *http.Request) bool {
	return r.Header.Get(headerLastEventID) != "" || r.Header.Get("Accept") == "text/event-stream"
}

func formatOf(req *entry.Request) completionFormat {
	if req.Chat {
		return chatFormat{}
	}
	return textFormat{}
}

// reportMoved tells the caller that a peer continues the request: by an event if
// the stream has started, else by a redirect to the path of the request.
func (r *reply) reportMoved() {
	location := "/v1/requests/" + r.req.ID
	if !r.started {
		r.writer.Header().Set("Location", location)
		r.writer.WriteHeader(http.StatusSeeOther)
		return
	}
	data, _ := json.Marshal(newMovedBody(location, r.req.ID))
	r.buffer = append(r.buffer, "event: moved\ndata: "...)
	r.buffer = append(r.buffer, data...)
	r.buffer = append(r.buffer, "\n\n"...)
	_ = r.Flush()
}

// movedBody is the data of the "moved" event, which ends a stream that a peer
// continues. Client libraries that do not know the event report its error; without
// one they take the part of the stream for the whole answer.
type movedBody struct {
	Location  string      `json:"location"`
	RequestID string      `json:"request_id"`
	Error     errorDetail `json:"error"`
}

func newMovedBody(location, requestID string) movedBody {
	detail := errorDetail{
		Message:   "the answer is not complete and continues at " + location,
		Type:      "server_error",
		Code:      "moved",
		Run:       string(endpoint.RunUnknown),
		RequestID: requestID,
	}
	return movedBody{Location: location, RequestID: requestID, Error: detail}
}

// isMoved reports whether a request ended on this daemon because a peer took it over.
func isMoved(err error) bool {
	var movedErr *entry.MovedError
	return errors.As(err, &movedErr)
}
