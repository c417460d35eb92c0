package entry

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"time"

	wire "github.com/boragelead/boragelead/internal/adapter/exchange"
	"github.com/boragelead/boragelead/internal/adapter/httpconn"
	"github.com/boragelead/boragelead/internal/gateway/pick"
	"github.com/boragelead/boragelead/internal/gateway/rollout"
	"github.com/boragelead/boragelead/internal/gateway/rules"
	"github.com/boragelead/boragelead/internal/port"
	"github.com/boragelead/boragelead/internal/telemetry"
)

const (
	// connectionShareFactor is the ratio of the connections that an entry may
	// open to an endpoint to an even share among entries. It exceeds 1 because
	// callers spread unevenly over entries.
	connectionShareFactor = 2.5
	// silentTargetFactor times the target latency of the route, but at least
	// minAttemptSilence, is how long a repeatable request waits for an answer
	// before another endpoint may get it.
	silentTargetFactor = 3
	minAttemptSilence  = 900 * time.Millisecond
)

// outcome is the result of an attempt.
type outcome struct {
	// done is set if the answer was forwarded to the caller as the final one.
	done bool
	// sent is false only if no byte of the request was sent.
	sent bool
	// notRun is set if the endpoint proved that it did not run the request.
	notRun bool
	// next is the hop of the following attempt, if it is already chosen and the retry taken
	// from the retry budget.
	next *hop
	err  error
	// refusal is set if the request must not run at any endpoint now, because it is
	// suspected of crashing endpoints.
	refusal *Refusal
	// moved is set if the run continues at another endpoint.
	moved *move
}

// connectionShare returns how many connections this entry may open to one
// endpoint of a service; 0 means no limit.
func (e *Entry) connectionShare(s *rules.Service) int {
	if s.MaxConnections <= 0 {
		return 0
	}
	entries := float64(max(e.replicaClient.entries(), 1))
	if entries <= connectionShareFactor {
		return s.MaxConnections
	}
	return max(int(float64(s.MaxConnections)*connectionShareFactor/entries), 1)
}

// attempt runs one attempt, at an endpoint or through a peer.
func (c *call) attempt(ctx context.Context, h *hop) outcome {
	defer c.endAttempt(h, time.Now())
	c.countFirst()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.peer = h.peerName()
	if h.viaPeer() {
		return c.attemptViaPeer(ctx, cancel, h)
	}
	if h.choice.Excluded != nil {
		c.excluded = h.choice.Excluded
	}
	return c.attemptAtEndpoint(ctx, cancel, h)
}

// endAttempt frees the place of an attempt for requests that wait.
func (c *call) endAttempt(h *hop, startedAt time.Time) {
	h.choice.End()
	c.entry.queues.of(c.service.Name).ended(h.gated, time.Since(startedAt), h.full)
}

// countFirst counts the request once in the retry budget, however often it fails to be sent.
// A forwarded request is counted by the entry that has the caller.
func (c *call) countFirst() {
	if c.firstCounted || c.forwarded != nil {
		return
	}
	c.firstCounted = true
	c.entry.retries.First(c.service.Name, time.Now())
}

// attemptAtEndpoint runs one attempt at an endpoint, unless the request is suspected of
// crashing endpoints, and records it in the crash detector and in tracing.
func (c *call) attemptAtEndpoint(ctx context.Context, cancel context.CancelFunc, h *hop) outcome {
	e := c.entry
	choice := h.choice
	watch, err := e.crashes.beginAttempt(c.fingerprint, c.parts, choice.Endpoint.ID)
	if err != nil {
		c.entry.rollouts.Return(h.exposure)
		return outcome{refusal: c.suspectRefusal(err)}
	}
	c.watch = watch
	c.trial = c.beginTrial(h)
	c.sentToNew = c.sentToNew || h.side == rollout.New
	ctx, span := e.options.Tracing.Start(ctx, telemetry.HopAttempt)
	defer span.End()
	span.Text("endpoint", choice.Endpoint.ID)
	result := c.exchange(ctx, cancel, h)
	c.settleRollout(h, &result)
	span.Fail(result.err)
	watch.end(result.done && c.complete)
	return result
}

// exchange sends the request to an endpoint and forwards the answer.
func (c *call) exchange(ctx context.Context, cancel context.CancelFunc, h *hop) outcome {
	answer, next, err := c.sendWatched(h, cancel, func() (*wire.Answer, error) { return c.send(ctx, h) })
	if err != nil {
		return c.replaced(c.classifyFailure(ctx, h.choice, err), next)
	}
	defer answer.Close()
	c.tried = append(c.tried, h.endpoint.ID)
	return c.handleAnswer(ctx, h, answer)
}

// sendWatched calls send, which sends the request to a hop and waits for the header of the answer,
// unless a silenceWatch ends the attempt by cancel. It then returns the reserved next attempt and
// an error.
func (c *call) sendWatched(h *hop, cancel context.CancelFunc, send func() (*wire.Answer, error)) (answer *wire.Answer, next *hop, err error) {
	watch := c.watchSilence(h, c.silenceTimeout(), c.attempts()+1, cancel)
	answer, err = send()
	next = watch.stop()
	if next != nil && err == nil {
		answer.Discard()
		err = errReplaced
	}
	return answer, next, err
}

// replaced adds the reserved next attempt to the outcome of one that a silenceWatch has ended.
// If the attempt did not reach its endpoint, the reservation is of no use: it counts as none.
func (c *call) replaced(result outcome, next *hop) outcome {
	if next == nil {
		return result
	}
	if !result.sent || result.refusal != nil || c.r.Context().Err() != nil {
		c.releaseReplacement(next)
		return result
	}
	result.next = next
	return result
}

// send sends the request and waits for the header of the answer.
func (c *call) send(ctx context.Context, h *hop) (*wire.Answer, error) {
	choice := h.choice
	remaining := time.Until(c.deadline)
	header := httpconn.WithoutHopByHop(c.r.Header)
	dispatch := port.Dispatch{
		EndpointID: choice.Endpoint.ID, Workspace: c.workspace, Deadline: remaining, Priority: -1, ResumeAfter: c.resumeAfter(),
	}
	if c.service.Engine != nil {
		dispatch.Priority = c.priority
	}
	dispatch.KVHandle, c.kvHandle = c.kvHandle, ""
	c.entry.options.Dialect.Dispatch(header, dispatch)
	address := choice.Endpoint.Address
	request := &wire.Request{
		Method: c.r.Method, Target: c.r.RequestURI, Host: c.r.Host, Header: header, Body: c.body.Data(),
		// On a connection that carried this request before, a late second copy of the answer
		// to the earlier attempt has the right ID, and would be taken for the answer to this one.
		Fresh: slices.Contains(c.addresses, address), KeptOnly: h.keptOnly, BeforeSend: func() error { return c.checkSend(h) },
	}
	c.addresses = append(c.addresses, address)
	c.entry.metrics.attempts.Inc()
	c.entry.longPrompts.note(choice)
	return c.entry.client.Do(ctx, address, request)
}

// resumeAfter returns the ID of the event after which the next attempt must continue; empty
// if it starts from the beginning.
func (c *call) resumeAfter() string {
	if c.lastEventID != noID {
		return strconv.FormatInt(c.lastEventID, 10)
	}
	return c.meta.ResumeAfter
}

// silenceTimeout returns how long an attempt may wait for its answer before another one may
// replace it.
func (c *call) silenceTimeout() time.Duration {
	return max(silentTargetFactor*c.route.Target, minAttemptSilence)
}

// classifyFailure returns the outcome of an attempt without an answer and records
// the failure.
func (c *call) classifyFailure(ctx context.Context, choice *pick.Choice, err error) outcome {
	var withdrawn *WithdrawnError
	if errors.As(err, &withdrawn) || errors.Is(err, wire.ErrNoKeptConnection) {
		return outcome{err: err}
	}
	var transport *port.TransportError
	sent := !errors.As(err, &transport) || transport.Sent
	if sent {
		c.tried = append(c.tried, choice.Endpoint.ID)
		if c.r.Context().Err() == nil && !isTimeout(err) {
			c.awaitCrashVerdict(ctx, c.entry.crashes.answerLost(&choice.Endpoint))
		}
	}
	if c.r.Context().Err() == nil {
		choice.RecordFailure(time.Now())
		c.entry.reach.suspect(choice.Endpoint.Service)
	}
	if showsCrash(err) {
		choice.RecordRefused(time.Now())
	}
	return outcome{sent: sent, err: err}
}

// isTimeout reports whether an attempt ended by a time-out and not by a failure of
// its connection.
func isTimeout(err error) bool {
	var transport *port.TransportError
	return errors.As(err, &transport) && transport.Silent
}

// mayHaveRun reports whether a failed attempt was sent to an endpoint that did not
// prove that it did not run the request.
func (o *outcome) mayHaveRun() bool { return o.err != nil && o.sent && !o.notRun }

// countUsage counts the request once in the usage of its workspace. A forwarded request is
// counted by the entry that has the caller.
func (c *call) countUsage() {
	if c.usageCounted || c.workspace == "" || c.forwarded != nil {
		return
	}
	c.usageCounted = true
	c.entry.counter.Add(c.workspace, c.entry.clock.Now())
}
