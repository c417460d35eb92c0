package entry

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/boragelead/boragelead/internal/core/member"
	"github.com/boragelead/boragelead/internal/port"
)

// Methods between entries.
const (
	methodTakeOver = "entry.takeover"
	methodLocate   = "entry.locate"
)

const (
	// takeOverTimeout bounds the hand-over of one request to one peer.
	takeOverTimeout = 2 * time.Second
	// locateTimeout bounds the search for the daemon that holds a request.
	locateTimeout = time.Second
	// idSeparator stands between daemon and number in a request ID.
	idSeparator = "."
)

// HandOverError is the cause by which a request is handed to a peer.
type HandOverError struct{}

// Error implements error.
func (*HandOverError) Error() string { return "the daemon stops before the request can end" }

// takeOverMessage carries a request and what was generated for it.
type takeOverMessage struct {
	Request Request `json:"request"`
	Text    string  `json:"text"`
	Tokens  int     `json:"tokens"`
}

// locateReply tells whether a daemon holds a request.
type locateReply struct {
	Held bool `json:"held"`
}

// Register registers the methods by which peers reach this service.
func (s *Service) Register(server port.PeerServer) {
	server.Handle(methodTakeOver, s.takeOver)
	server.Handle(methodLocate, s.locate)
	s.registerMarks(server)
}

// HandOverAll hands all requests that still run to peers. It returns at once;
// the requests end with a *MovedError.
func (s *Service) HandOverAll() int {
	running := s.journals.Running()
	for _, journal := range running {
		journal.cancel(&HandOverError{})
	}
	return len(running)
}

// handOver ends a cancelled request: by a hand-over to a peer if that was the
// cause and a peer takes it. Otherwise it returns the cause.
func (g *generation) handOver(cause error) error {
	var wanted *HandOverError
	if !errors.As(cause, &wanted) {
		return cause
	}
	snapshot := g.journal.Read(0)
	message := takeOverMessage{Request: *g.req, Text: snapshot.Chunk.Text, Tokens: snapshot.Chunk.Count}
	params, err := json.Marshal(message)
	if err != nil {
		return eris.Wrap(err, "encode hand-over")
	}
	for _, peer := range g.service.peersOf() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(g.runCtx), takeOverTimeout)
		_, err := g.service.options.Peers.Call(ctx, peer.Address, methodTakeOver, params)
		cancel()
		if err == nil {
			return &MovedError{RequestID: g.req.ID, Peer: peer.Name}
		}
		g.service.log.Warn("Request not handed over.", zap.String("peer", peer.Name), zap.String("request", g.req.ID), zap.Error(err))
	}
	return &RefusalError{Type: RefusedShutdown, RetryAfter: time.Second, Message: "the daemon stops and no peer took the request", Err: cause}
}

// takeOver continues a request of a peer. The caller finds it by its ID.
func (s *Service) takeOver(_ context.Context, params []byte) ([]byte, error) {
	if s.draining.Load() {
		return nil, &RefusalError{Type: RefusedShutdown, Run: "not_run", Message: "this daemon is shutting down"}
	}
	var message takeOverMessage
	if err := json.Unmarshal(params, &message); err != nil {
		return nil, eris.Wrap(err, "decode hand-over")
	}
	journal := NewJournal(&message.Request)
	journal.takenOver = true
	if message.Tokens > 0 {
		journal.Append(message.Tokens, message.Text)
	}
	// The caller may come as soon as the other daemon has the answer: it must find the journal.
	s.journals.Add(journal)
	s.metrics.takenOver.Inc()
	s.group.Go(func() {
		if _, err := s.run(s.ctx, journal, nil); err != nil {
			s.log.Warn("Request taken over not finished.", zap.String("request", message.Request.ID), zap.Error(err))
		}
	})
	return nil, nil
}

func (s *Service) locate(_ context.Context, params []byte) ([]byte, error) {
	journal := s.journals.Get(string(params))
	return json.Marshal(locateReply{Held: journal != nil && journal.Read(0).MovedTo == ""})
}

// Locate returns the base URL of the daemon that holds a request, or "". The
// ID names the accepting daemon, which is asked together with all peers.
func (s *Service) Locate(ctx context.Context, id string) string {
	ctx, cancel := context.WithTimeout(ctx, locateTimeout)
	defer cancel()
	found := make(chan string, 1)
	var group sync.WaitGroup
	for _, peer := range s.peersOf() {
		group.Go(func() { s.ask(ctx, peer, id, found) })
	}
	go func() {
		group.Wait()
		close(found)
	}()
	return <-found
}

func (s *Service) ask(ctx context.Context, peer member.Peer, id string, found chan<- string) {
	data, err := s.options.Peers.Call(ctx, peer.Address, methodLocate, []byte(id))
	if err != nil {
		return
	}
	var reply locateReply
	if json.Unmarshal(data, &reply) != nil || !reply.Held {
		return
	}
	select {
	case found <- peer.CallerURL:
	default:
	}
}

// NewID returns a request ID that names the accepting daemon.
func (s *Service) NewID() string {
	return s.options.Name + idSeparator + strings.ReplaceAll(newUUID(), "-", "")
}
