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

	"github.com/boragelead/boragelead/internal/core/attempt"
	"github.com/boragelead/boragelead/internal/core/member"
	"github.com/boragelead/boragelead/internal/port"
	"github.com/boragelead/boragelead/internal/wait"
)

// Methods of the protocol between entries.
const (
	methodTakeOver = "entry.takeover"
	methodRelease  = "entry.release"
	methodLocate   = "entry.locate"
)

const (
	// takeOverTimeout limits the hand-over of one request to one peer.
	takeOverTimeout = 2 * time.Second
	// handOverInterval is the pause before the peers are asked again. Membership
	// changes spread within a second.
	handOverInterval = time.Second
	// HandOverGrace is how long after the end of a drain the answers of peers are
	// awaited, so that an offer that began before is not given up.
	HandOverGrace = time.Second
	// locateTimeout limits the search for the daemon that holds a request.
	locateTimeout = time.Second
	// idSeparator separates the daemon name from the unique part of a request
	// ID.
	idSeparator = "."
)

// takeOverMessage carries a request and the text generated for it so far.
type takeOverMessage struct {
	Request Request `json:"request"`
	Text    string  `json:"text"`
	Tokens  int     `json:"tokens"`
	// MayHaveRun is false if it is proven that the request did not run. Older daemons
	// do not send it.
	MayHaveRun *bool `json:"may_have_run,omitempty"`
	// Offer identifies the hand-over in a releaseMessage.
	Offer string `json:"offer,omitempty"`
}

// mayHaveRun reports whether the request may have run before the hand-over. Without
// the field nothing is proven.
func (m *takeOverMessage) mayHaveRun() bool { return m.MayHaveRun == nil || *m.MayHaveRun }

// releaseMessage tells a peer that it need not continue a request, because the
// hand-over was not used.
type releaseMessage struct {
	RequestID string `json:"request_id"`
	Offer     string `json:"offer"`
}

// locateReply reports whether a daemon holds a request.
type locateReply struct {
	Held bool `json:"held"`
}

// Register registers the methods by which peers reach this service.
func (s *Service) Register(server port.PeerServer) {
	server.Handle(methodTakeOver, s.takeOver)
	server.Handle(methodRelease, s.release)
	server.Handle(methodLocate, s.locate)
	s.registerCrashRecords(server)
}

// HandOverAll starts to offer all running requests to peers and returns their
// number. It does not wait. A request continues until a peer has accepted it and
// then ends with a *MovedError. Peers are asked until the deadline; HandOverGrace
// later at the latest, a request that none took ends with a *RefusalError.
func (s *Service) HandOverAll(deadline time.Time) int {
	running := s.journals.Running()
	for _, journal := range running {
		s.goroutines.Go(func() { journal.handOver(deadline) })
	}
	return len(running)
}

// offer is a hand-over that a peer has not answered yet. The attempts of the
// request continue, but their tokens are held back: a peer that accepts the
// request continues after the tokens that the caller had when it was asked.
type offer struct {
	id string
	// mayHaveRun is what the peer was told: whether the request may have run.
	mayHaveRun bool
	held       []attempt.Action
	done       chan struct{}
}

// handOver offers the request to the live peers until one accepts it or the
// request ends. If none has accepted it at the deadline, the request is refused.
func (g *generation) handOver(deadline time.Time) {
	ctx, cancel := context.WithDeadline(g.runCtx, deadline.Add(HandOverGrace))
	defer cancel()
	silent := make(map[string]bool)
	for !g.offerToPeers(ctx, silent) {
		remaining := time.Until(deadline)
		if remaining <= 0 || !wait.For(ctx, min(handOverInterval, remaining)) {
			g.journal.cancel(&RefusalError{Type: RefusedShutdown, RetryAfter: time.Second, Message: "the daemon stops and no peer took the request"})
			return
		}
	}
}

// offerToPeers asks each live peer once and reports whether one accepted the
// request. Peers that do not answer in time are added to silent and not asked
// again, since the caller receives no tokens meanwhile.
func (g *generation) offerToPeers(ctx context.Context, silent map[string]bool) bool {
	for _, peer := range g.service.livePeers() {
		if silent[peer.Name] {
			continue
		}
		o, message := g.beginOffer()
		if o == nil {
			return false
		}
		err := g.sendOffer(ctx, peer, message)
		if err == nil {
			return g.endOffer(o, peer)
		}
		g.service.log.Warn("Peer did not accept the hand-over of a request.", zap.String("peer", peer.Name), zap.String("request", g.req.ID), zap.Error(err))
		silent[peer.Name] = errors.Is(err, context.DeadlineExceeded)
		g.dropOffer(o)
		// The peer may have accepted although its answer did not arrive.
		g.releasePeer(peer, o)
	}
	return false
}

// beginOffer starts to hold tokens back. It returns nil if the request has ended.
func (g *generation) beginOffer() (*offer, *takeOverMessage) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closing || g.err != nil || g.machine.Ended() {
		return nil, nil
	}
	g.offer = &offer{id: newUUID(), mayHaveRun: g.mayHaveRun(), done: make(chan struct{})}
	chunk := g.journal.Read(0).Chunk
	return g.offer, &takeOverMessage{
		Request: *g.req, Text: chunk.Text, Tokens: chunk.Count, MayHaveRun: &g.offer.mayHaveRun, Offer: g.offer.id,
	}
}

// mayHaveRun reports whether this daemon or one before may have run the request.
// The caller holds the lock.
func (g *generation) mayHaveRun() bool { return g.req.MayHaveRun || g.machine.MayHaveRun() }

// sendOffer asks a peer to take the request over. A nil error means that it accepted.
func (g *generation) sendOffer(ctx context.Context, peer member.Peer, message *takeOverMessage) error {
	params, err := json.Marshal(message)
	if err != nil {
		return eris.Wrap(err, "encode hand-over")
	}
	ctx, cancel := context.WithTimeout(ctx, takeOverTimeout)
	defer cancel()
	_, err = g.service.options.Peers.Call(ctx, peer.Address, methodTakeOver, params)
	return err
}

// dropOffer delivers the tokens that were held back, and the request goes on.
func (g *generation) dropOffer(o *offer) {
	g.mu.Lock()
	g.deliverHeld()
	g.offer = nil
	g.mu.Unlock()
	close(o.done)
}

// endOffer ends the request here after a peer has accepted it. If the request has
// already ended with its whole answer, or its caller has gone, the peer is told
// that it need not continue. The same holds if the request was sent to an endpoint
// after the peer was told that it had not run: the peer would report not_run for a
// request that may have run. endOffer reports whether the request has moved.
func (g *generation) endOffer(o *offer, peer member.Peer) bool {
	moved := &MovedError{RequestID: g.req.ID, Peer: peer.Name}
	g.mu.Lock()
	complete := g.machine.Ended() && g.err == nil
	outdated := !o.mayHaveRun && g.mayHaveRun()
	if complete || outdated || context.Cause(g.runCtx) != nil {
		g.mu.Unlock()
		g.dropOffer(o)
		g.releasePeer(peer, o)
		return false
	}
	for _, action := range g.machine.Abandon(moved) {
		g.performAction(&action)
	}
	g.offer = nil
	g.mu.Unlock()
	g.journal.cancel(moved)
	close(o.done)
	return true
}

// deliverHeld delivers the tokens that were held back. The caller holds the lock.
func (g *generation) deliverHeld() {
	if g.offer == nil || len(g.offer.held) == 0 {
		return
	}
	held := g.offer.held
	g.offer.held = nil
	for i := range held {
		g.deliverNow(&held[i])
	}
	if g.sink != nil {
		g.handleSinkError(g.sink.Flush())
	}
}

// awaitOffer prevents further offers. If the request has failed here, it waits
// for the answer to the current one, because a peer may still take the request.
func (g *generation) awaitOffer() {
	g.mu.Lock()
	g.closing = true
	o, failed := g.offer, g.err != nil
	g.mu.Unlock()
	if o != nil && failed {
		<-o.done
	}
}

// releasePeer tells a peer that it need not continue the request.
func (g *generation) releasePeer(peer member.Peer, o *offer) {
	params, err := json.Marshal(releaseMessage{RequestID: g.req.ID, Offer: o.id})
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(g.runCtx), takeOverTimeout)
	defer cancel()
	if err := g.service.options.Peers.Notify(ctx, peer.Address, methodRelease, params); err != nil {
		g.service.log.Debug("Peer could not be told that a hand-over was not used.", zap.String("peer", peer.Name), zap.Error(err))
	}
}

// release ends a request that was taken over from a peer, which continues it
// itself.
func (s *Service) release(_ context.Context, params []byte) ([]byte, error) {
	var message releaseMessage
	if err := json.Unmarshal(params, &message); err != nil {
		return nil, eris.Wrap(err, "decode release")
	}
	journal := s.journals.Get(message.RequestID)
	if journal == nil || journal.offer == "" || journal.offer != message.Offer {
		return nil, nil
	}
	s.journals.removeJournal(journal)
	journal.cancel(&CallerGoneError{})
	return nil, nil
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
	message.Request.MayHaveRun = message.mayHaveRun()
	journal := NewJournal(&message.Request)
	journal.takenOver = true
	journal.offer = message.Offer
	if message.Tokens > 0 {
		journal.Append(message.Tokens, message.Text)
	}
	// The caller may reconnect as soon as the other daemon has the reply, so
	// the journal must be registered before.
	// An earlier journal of the request is from a hand-over whose answer was
	// lost. The peer has gone on since then.
	if old := s.journals.replace(journal); old != nil {
		old.cancel(&CallerGoneError{})
	}
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
