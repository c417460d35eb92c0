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

// Methods of the protocol between entries.
const (
	methodTakeOver = "entry.takeover"
	methodLocate   = "entry.locate"
)

const (
	// takeOverTimeout limits the hand-over of one request to one peer.
	takeOverTimeout = 2 * time.Second
	// locateTimeout limits the search for the daemon that holds a request.
	locateTimeout = time.Second
	// idSeparator separates the daemon name from the unique part of a request
	// ID.
	idSeparator = "."
)

// HandOverError is the cancellation cause of a request that must be handed over
// to a peer.
type HandOverError struct{}

// Error implements error.
func (*HandOverError) Error() string {
	return "daemon is shutting down before the request has finished"
}

// takeOverMessage carries a request and the text generated for it so far.
type takeOverMessage struct {
	Request Request `json:"request"`
	Text    string  `json:"text"`
	Tokens  int     `json:"tokens"`
}

// locateReply reports whether a daemon holds a request.
type locateReply struct {
	Held bool `json:"held"`
}

// Register registers the methods by which peers reach this service.
func (s *Service) Register(server port.PeerServer) {
	server.Handle(methodTakeOver, s.takeOver)
	server.Handle(methodLocate, s.locate)
	s.registerCrashRecords(server)
}

// HandOverAll starts the hand-over of all running requests to peers and returns
// their number. It does not wait; handed-over requests end with a *MovedError.
func (s *Service) HandOverAll() int {
	running := s.journals.Running()
	for _, journal := range running {
		journal.cancel(&HandOverError{})
	}
	return len(running)
}

// handOver tries to hand a cancelled request over to a peer if the cause is a
// *HandOverError. It returns the error with which the request ends: a
// *MovedError if a peer accepted it, a *RefusalError if none did, or the
// unchanged cause.
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
	for _, peer := range g.service.livePeers() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(g.runCtx), takeOverTimeout)
		_, err := g.service.options.Peers.Call(ctx, peer.Address, methodTakeOver, params)
		cancel()
		if err == nil {
			return &MovedError{RequestID: g.req.ID, Peer: peer.Name}
		}
		g.service.log.Warn("Peer did not accept the hand-over of a request.", zap.String("peer", peer.Name), zap.String("request", g.req.ID), zap.Error(err))
	}
	return &RefusalError{Type: RefusedShutdown, RetryAfter: time.Second, Message: "the daemon stops and no peer took the request", Err: cause}
}

// takeOver continues a request of a peer. The caller finds the request by its
// ID.
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
	// The caller may reconnect as soon as the other daemon has the reply, so
	// the journal must be registered before.
	s.journals.Add(journal)
	s.metrics.takenOver.Inc()
	s.goroutines.Go(func() {
		if _, err := s.run(s.ctx, journal, nil); err != nil {
			s.log.Warn("Request that was taken over from a peer failed.", zap.String("request", message.Request.ID), zap.Error(err))
		}
	})
	return nil, nil
}

func (s *Service) locate(_ context.Context, params []byte) ([]byte, error) {
	journal := s.journals.Get(string(params))
	return json.Marshal(locateReply{Held: journal != nil && journal.Read(0).MovedTo == ""})
}

// Locate returns the base URL of the peer that holds a request, or "" if none
// answers that it does. It asks all live peers.
func (s *Service) Locate(ctx context.Context, id string) string {
	ctx, cancel := context.WithTimeout(ctx, locateTimeout)
	defer cancel()
	found := make(chan string, 1)
	var group sync.WaitGroup
	for _, peer := range s.livePeers() {
		group.Go(func() { s.askPeer(ctx, peer, id, found) })
	}
	go func() {
		group.Wait()
		close(found)
	}()
	return <-found
}

func (s *Service) askPeer(ctx context.Context, peer member.Peer, id string, found chan<- string) {
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

// NewID returns a request ID that contains the name of the accepting daemon.
func (s *Service) NewID() string {
	return s.options.Name + idSeparator + strings.ReplaceAll(newUUID(), "-", "")
}
