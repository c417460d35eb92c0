package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	wire "github.com/boragelead/boragelead/internal/adapter/exchange"
	"github.com/boragelead/boragelead/internal/adapter/httpconn"
	"github.com/boragelead/boragelead/internal/gateway/forward"
	"github.com/boragelead/boragelead/internal/gateway/registry"
	"github.com/boragelead/boragelead/internal/port"
	"github.com/boragelead/boragelead/internal/telemetry"
)

// choosePeer chooses the peer that the request is forwarded to, except those that are avoided. A
// request that was forwarded to this entry is refused instead, so that none goes over more than
// one peer.
func (c *call) choosePeer(avoided []string, now time.Time) (*hop, error) {
	refusal := &Refusal{Status: http.StatusServiceUnavailable, Reason: ReasonCutOff, RetryAfter: c.retryAfter(defaultRetryAfter)}
	if c.forwarded != nil {
		return nil, refusal
	}
	if c.deadline.Sub(now) < minAttemptTime {
		// The peer could not serve it either, and would refuse it.
		refusal.Reason = ReasonTimeout
		return nil, refusal
	}
	chosen, err := c.entry.peers.Choose(c.service.Name, avoided, now)
	if err != nil {
		refusal.Err = err
		return nil, refusal
	}
	return &hop{choice: chosen.Choice, peerKey: chosen.Key}, nil
}

// attemptViaPeer runs one attempt at an endpoint that a peer chooses.
func (c *call) attemptViaPeer(ctx context.Context, cancel context.CancelFunc, h *hop) outcome {
	ctx, span := c.entry.options.Tracing.Start(ctx, telemetry.HopForward)
	defer span.End()
	span.Text("peer", h.choice.Endpoint.ID)
	c.entry.metrics.forwards.Inc()
	var result outcome
	answer, next, err := c.sendWatched(h, cancel, func() (*wire.Answer, error) { return c.sendToPeer(ctx, h) })
	if err != nil {
		result = c.replaced(c.classifyPeerFailure(h, err), next)
	} else {
		result = c.handlePeerAnswer(ctx, h, answer)
		answer.Close()
	}
	span.Fail(result.err)
	if result.err != nil {
		c.entry.metrics.forwardsFailed.Inc()
	}
	return result
}

// sendToPeer sends the request to a peer and waits for the header of its answer.
func (c *call) sendToPeer(ctx context.Context, h *hop) (*wire.Answer, error) {
	header := httpconn.WithoutHopByHop(c.r.Header)
	telemetry.Inject(ctx, header)
	if err := c.forwardRequest(h).Write(header); err != nil {
		return nil, &port.TransportError{Err: err}
	}
	request := &wire.Request{Method: c.r.Method, Target: c.r.RequestURI, Host: c.r.Host, Header: header, Body: c.body.Data()}
	return c.entry.peerClient.Do(ctx, h.choice.Endpoint.Address, request)
}

func (c *call) forwardRequest(h *hop) *forward.Request {
	return &forward.Request{
		Key: h.peerKey, Entry: c.entry.options.Settings.Name,
		Route: c.route.Name, Kind: c.route.Kind, Resumable: c.route.Resumable,
		Service: c.service.Name, Workspace: c.workspace, Priority: c.priority,
		TimeLeftMS: time.Until(c.deadline).Milliseconds(), TargetMS: c.route.Target.Milliseconds(), MaxGapMS: c.route.MaxGap.Milliseconds(),
		ResumeAfter: c.resumeAfter(), SoftwareVersion: c.softwareVersion, Avoid: c.tried,
	}
}

// classifyPeerFailure returns the outcome of an attempt without an answer of the peer. Once
// it was sent, the peer may have passed it on.
func (c *call) classifyPeerFailure(h *hop, err error) outcome {
	var transport *port.TransportError
	sent := !errors.As(err, &transport) || transport.Sent
	if sent {
		c.tried = append(c.tried, h.choice.Endpoint.ID)
	}
	// An attempt that was cancelled shows nothing about the peer.
	if c.r.Context().Err() == nil && !errors.Is(err, context.Canceled) {
		h.recordFailure(time.Now(), false)
		c.avoidedPeers = append(c.avoidedPeers, h.choice.Endpoint.ID)
	}
	return outcome{sent: sent, err: &PeerError{Peer: h.choice.Endpoint.ID, Problem: err.Error()}}
}

// handlePeerAnswer forwards the answer of an endpoint that a peer passed on, or returns the
// outcome that the peer states.
func (c *call) handlePeerAnswer(ctx context.Context, h *hop, answer *wire.Answer) outcome {
	now := time.Now()
	reply, err := forward.TakeReply(answer.Header)
	if err != nil {
		c.tried = append(c.tried, h.choice.Endpoint.ID)
		c.avoidedPeers = append(c.avoidedPeers, h.choice.Endpoint.ID)
		answer.Discard()
		h.recordFailure(now, false)
		return outcome{sent: true, err: &PeerError{Peer: h.choice.Endpoint.ID, Problem: err.Error()}}
	}
	h.choice.RecordAnswer(nil, now)
	c.entry.reach.notePeerAnswer(now)
	c.tried = append(c.tried, reply.Tried...)
	c.misdirected += len(reply.Tried) - reply.Attempts
	if reply.Refusal != nil {
		c.drainBody(answer)
		return c.refusedByPeer(h, reply, now)
	}
	h.endpoint = registry.Endpoint{ID: reply.Endpoint, Service: c.service.Name, Born: reply.Born, SoftwareVersion: reply.SoftwareVersion, State: registry.Ready}
	h.versionUnknown = reply.VersionUnknown
	meta := c.entry.options.Dialect.ParseAnswer(answer.StatusCode, answer.Header)
	if meta.AttemptID != c.meta.AttemptID {
		return c.rejectAnswer(h, answer, "answer belongs to another request")
	}
	c.entry.departures.observe(&h.endpoint, &meta, now)
	return c.deliver(ctx, h, answer)
}

// refusedByPeer returns the outcome of an attempt for which the peer has no answer of an
// endpoint.
func (c *call) refusedByPeer(h *hop, reply *forward.Reply, now time.Time) outcome {
	refusal := reply.Refusal
	reason := Reason(refusal.Reason)
	err := &PeerError{Peer: h.choice.Endpoint.ID, Reason: reason, Problem: refusal.Error}
	if refusal.MayHaveRun || len(reply.Tried) > 0 {
		return outcome{sent: true, notRun: !refusal.MayHaveRun, err: err}
	}
	switch reason {
	case ReasonNoEndpoint, ReasonWait, ReasonQuarantined:
		// Another peer would refuse it as well.
		wait := time.Duration(refusal.RetryAfterMS) * time.Millisecond
		if reason != ReasonQuarantined {
			wait = c.retryAfter(wait)
		}
		return outcome{refusal: &Refusal{Status: statusNotRun, Reason: reason, RetryAfter: wait, Err: err}}
	}
	c.entry.peers.RecordRefusal(h.choice.Endpoint.ID, c.service.Name, now)
	c.avoidedPeers = append(c.avoidedPeers, h.choice.Endpoint.ID)
	return outcome{err: err}
}

// errBrokenBehindPeer reports a stream that broke off between its endpoint and the peer that
// passes it on.
var errBrokenBehindPeer = errors.New("stream of the endpoint broke off behind the peer")

// streamBody returns the events of an answer. A stream that a peer passes on is complete
// only if its trailer says so.
func streamBody(h *hop, answer *wire.Answer) io.Reader {
	if !h.viaPeer() {
		return answer
	}
	return &peerStream{answer: answer}
}

// peerStream is the body of a stream that a peer passes on.
type peerStream struct{ answer *wire.Answer }

// Read implements io.Reader.
func (s *peerStream) Read(p []byte) (int, error) {
	n, err := s.answer.Read(p)
	if errors.Is(err, io.EOF) && !forward.IsComplete(s.answer.Trailer) {
		err = errBrokenBehindPeer
	}
	return n, err
}
