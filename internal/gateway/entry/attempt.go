package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	wire "github.com/boragelead/boragelead/internal/adapter/exchange"
	"github.com/boragelead/boragelead/internal/adapter/httpconn"
	"github.com/boragelead/boragelead/internal/gateway/pick"
	"github.com/boragelead/boragelead/internal/gateway/rules"
	"github.com/boragelead/boragelead/internal/port"
	"github.com/boragelead/boragelead/internal/telemetry"
)

const (
	// maxPlainAnswer bounds an answer that is kept until it is whole, in bytes.
	maxPlainAnswer = 8 << 20
	// connectionSlack lets an entry use more than an even part of the
	// connections of an endpoint, since callers spread unevenly.
	connectionSlack = 2.5
	// silentTargets is how many targets a repeatable request may be without an
	// answer before another endpoint gets it; never under minSilent.
	silentTargets = 3
	minSilent     = 900 * time.Millisecond
)

// outcome is how an attempt ended.
type outcome struct {
	// done is set when the caller got a final answer.
	done bool
	// sent is unset only where no byte of the request left.
	sent bool
	// notRun is the endpoint's proof that it did not run the request.
	notRun bool
	// approved is set when a further attempt was already taken from the budget.
	approved bool
	err      error
	// held is set where the request must not run anywhere now.
	held *Refusal
	// moved is set where the run goes on at another endpoint.
	moved *move
}

// connectionShare is the number of connections that this entry may hold to one
// endpoint of a service.
func (e *Entry) connectionShare(s *rules.Service) int {
	if s.MaxConnections <= 0 {
		return 0
	}
	entries := float64(max(e.links.entries(), 1))
	if entries <= connectionSlack {
		return s.MaxConnections
	}
	return max(int(float64(s.MaxConnections)*connectionSlack/entries), 1)
}

// attempt sends the request to one endpoint and passes its answer on.
func (x *call) attempt(ctx context.Context, choice *pick.Choice) outcome {
	e := x.entry
	defer choice.End()
	if len(x.tried) == 0 {
		e.repeats.First(x.service.Name, time.Now())
	}
	end, err := e.crashes.mayRun(x.print, choice.Endpoint.ID)
	if err != nil {
		return outcome{held: x.suspectRefusal(err)}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ctx, span := e.options.Tracing.Start(ctx, telemetry.HopAttempt)
	defer span.End()
	span.Text("endpoint", choice.Endpoint.ID)
	result := x.exchange(ctx, cancel, choice)
	span.Fail(result.err)
	end(result.done && x.whole)
	return result
}

// exchange sends the request and passes the answer on.
func (x *call) exchange(ctx context.Context, cancel context.CancelFunc, choice *pick.Choice) outcome {
	e := x.entry
	answer, err := x.send(ctx, cancel, choice)
	if err != nil {
		return x.failed(choice, err)
	}
	defer answer.Close()
	x.tried = append(x.tried, choice.Endpoint.ID)
	now := time.Now()
	meta := e.options.Dialect.Answer(answer.StatusCode, answer.Header)
	choice.Answered(meta.Load, now)
	switch {
	case meta.OtherEndpoint:
		choice.Leaving()
		x.misdirected++
		x.drainBody(answer)
		return outcome{sent: true, notRun: true, err: &AnswerError{choice.Endpoint.ID, "another endpoint has the address"}}
	case meta.NotRun:
		if meta.Full {
			choice.Full(meta.Load, now)
		}
		x.drainBody(answer)
		return outcome{sent: true, notRun: true, err: &AnswerError{choice.Endpoint.ID, "not run, status " + strconv.Itoa(answer.StatusCode)}}
	case meta.AttemptID != x.meta.AttemptID || !meta.Sealed:
		answer.Discard()
		choice.Failed(now)
		return outcome{sent: true, err: &AnswerError{choice.Endpoint.ID, "it belongs to another request"}}
	}
	x.endpoint = choice.Endpoint.ID
	if x.begun && answer.StatusCode != http.StatusOK {
		// The caller already has a part of the stream, to which this answer is no continuation.
		answer.Discard()
		choice.Erred(now)
		return outcome{sent: true, err: &AnswerError{choice.Endpoint.ID, "stream not gone on with, status " + strconv.Itoa(answer.StatusCode)}}
	}
	if x.route.Kind == rules.Streaming && answer.StatusCode == http.StatusOK {
		return x.stream(ctx, choice, answer)
	}
	return x.plain(choice, answer)
}

// send writes the request. A repeatable request is given up after a silence,
// so that another endpoint can still answer in time.
func (x *call) send(ctx context.Context, cancel context.CancelFunc, choice *pick.Choice) (*wire.Answer, error) {
	left := time.Until(x.deadline)
	header := httpconn.WithoutHops(x.r.Header)
	d := port.Dispatch{
		EndpointID: choice.Endpoint.ID, Workspace: x.workspace, Deadline: left, Priority: -1, ResumeAfter: x.meta.ResumeAfter,
	}
	if x.service.Engine != nil {
		d.Priority = x.priority
	}
	if x.lastID != noID {
		d.ResumeAfter = strconv.FormatInt(x.lastID, 10)
	}
	d.Memory, x.memory = x.memory, ""
	x.entry.options.Dialect.Dispatch(header, d)
	request := &wire.Request{Method: x.r.Method, Target: x.r.RequestURI, Host: x.r.Host, Header: header, Body: x.body}
	if x.route.Repeatable() && x.attempts()+1 < x.route.MaxAttempts {
		silence := max(silentTargets*x.route.Target, minSilent)
		timer := time.AfterFunc(silence, cancel)
		defer timer.Stop()
	}
	x.entry.metrics.attempts.Inc()
	return x.entry.client.Do(ctx, choice.Endpoint.Address, request)
}

// failed classifies an attempt without an answer.
func (x *call) failed(choice *pick.Choice, err error) outcome {
	var transport *port.TransportError
	sent := !errors.As(err, &transport) || transport.Sent
	if sent {
		x.tried = append(x.tried, choice.Endpoint.ID)
		if x.r.Context().Err() == nil && !isSilent(err) {
			x.entry.crashes.lost(&choice.Endpoint)
		}
	}
	if x.r.Context().Err() == nil {
		choice.Failed(time.Now())
	}
	return outcome{sent: sent, err: err}
}

// isSilent reports whether an attempt ended by a deadline, not by its connection.
func isSilent(err error) bool {
	var transport *port.TransportError
	return errors.As(err, &transport) && transport.Silent
}

// drainBody reads a short refusal to its end, so that the connection stays usable.
func (x *call) drainBody(answer *wire.Answer) {
	const mostRefusalBytes = 4 << 10
	_, _ = io.Copy(io.Discard, io.LimitReader(answer, mostRefusalBytes))
}

// plain reads the whole answer before it passes it on, so that a broken one can
// still be repeated or reported as a failure.
func (x *call) plain(choice *pick.Choice, answer *wire.Answer) outcome {
	body, err := io.ReadAll(io.LimitReader(answer, maxPlainAnswer))
	if err != nil {
		answer.Discard()
		choice.Failed(time.Now())
		x.entry.crashes.lost(&choice.Endpoint)
		return outcome{sent: true, err: &AnswerError{choice.Endpoint.ID, "incomplete: " + err.Error()}}
	}
	x.countRun()
	x.whole = true
	now := time.Now()
	if answer.StatusCode >= http.StatusInternalServerError {
		choice.Erred(now)
		x.ran = true
		if answer.StatusCode != http.StatusGatewayTimeout && x.mayRepeat() {
			return outcome{sent: true, approved: true, err: &AnswerError{choice.Endpoint.ID, "status " + strconv.Itoa(answer.StatusCode)}}
		}
	} else {
		choice.Observe(now)
	}
	header := x.w.Header()
	copyHeader(header, answer.Header)
	header.Set("Content-Length", strconv.Itoa(len(body)))
	x.begin(answer.StatusCode)
	// A failed write means that the caller left; there is nobody to tell.
	_, _ = x.w.Write(body)
	return outcome{done: true, sent: true}
}

// begin sends the head of the answer.
func (x *call) begin(status int) {
	x.begun = true
	x.status = status
	x.first = time.Since(x.arrived)
	x.entry.metrics.firstByte.Record(x.first)
	x.w.WriteHeader(status)
}

// mayHaveRun reports whether an attempt without an answer was sent and the
// endpoint did not prove that it left the request alone.
func (o *outcome) mayHaveRun() bool { return o.err != nil && o.sent && !o.notRun }

// countRun counts the request once as one that began to run.
func (x *call) countRun() {
	if x.counted || x.workspace == "" {
		return
	}
	x.counted = true
	x.entry.counter.Add(x.workspace, x.entry.clock.Now())
}

// copyHeader passes the headers of an answer on.
func copyHeader(to, from http.Header) {
	for name, values := range httpconn.WithoutHops(from) {
		to[name] = values
	}
}
