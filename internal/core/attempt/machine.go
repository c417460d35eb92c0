package attempt

import (
	"strings"

	"github.com/boragelead/boragelead/api/endpoint"
)

// finishLength is the finish reason of an answer with the maximum number of tokens.
const finishLength = "length"

// Config is the configuration of a request.
type Config struct {
	// MaxTokens is the maximum number of tokens of the answer.
	MaxTokens    int
	PromptTokens int
	// Sampled reports that two attempts with the same prompt may generate
	// different tokens. During a hand-over the tokens of the old attempt are then
	// held back, because the new attempt does not continue from them.
	Sampled bool
}

// attemptState is the state of one attempt.
type attemptState struct {
	id, endpoint string
	sent         bool
	// provenNotRun is set when it is certain that the endpoint did not run the
	// attempt.
	provenNotRun bool
	// responded is set when a token frame or an invalid frame was received. The
	// attempt has then run, even if the endpoint later reports otherwise.
	responded bool
	// nextOffset is the offset of the next token of this attempt.
	nextOffset int
	// deliveredLength is the length in bytes of the text that was delivered before
	// the attempt was sent.
	deliveredLength int
	// pendingText is the text of tokens that are not delivered yet: those of a
	// successor until it takes over, and those of a primary that are held back.
	pendingText strings.Builder
	// silent is set while the attempt makes no progress.
	silent bool
}

// mayHaveRun reports whether the attempt may have run. A missing attempt has not.
func (a *attemptState) mayHaveRun() bool { return a != nil && a.sent && !a.provenNotRun }

// Machine is the state machine of one request.
type Machine struct {
	config Config
	// primary is the attempt whose tokens are delivered, nil if there is none.
	primary *attemptState
	// successor is the attempt that replaces the primary. After the primary is
	// lost, it remains the successor until it has caught up with the delivered
	// tokens.
	successor  *attemptState
	askPending bool
	// silentAsk is the attempt whose silence is the only reason of the pending Ask.
	silentAsk *attemptState
	ended     bool
	// mayHaveRun is set when an attempt has ended that may have run.
	mayHaveRun bool
	// nondeterministic is set when attempts may generate different tokens.
	nondeterministic bool
	offset           int
	emitted          strings.Builder
	cause            error
	stats            Stats
	actions          []Action
}

// New returns the machine of a request.
func New(config Config) *Machine {
	return &Machine{config: config, nondeterministic: config.Sampled}
}

// Offset returns the number of tokens delivered so far.
func (m *Machine) Offset() int { return m.offset }

// Emitted returns the text delivered so far.
func (m *Machine) Emitted() string { return m.emitted.String() }

// Ended reports whether Finish or Fail was returned.
func (m *Machine) Ended() bool { return m.ended }

// Running reports whether an attempt is the primary or the successor of a request
// that has not ended.
func (m *Machine) Running(id string) bool { return m.find(id) != nil }

// MayHaveRun reports whether an attempt may have run, including those that still run.
func (m *Machine) MayHaveRun() bool {
	return m.mayHaveRun || m.primary.mayHaveRun() || m.successor.mayHaveRun()
}

// Stats returns the counters so far.
func (m *Machine) Stats() Stats { return m.stats }

// Restore sets the tokens that another entry delivered before it handed the
// request over. It must be called before Begin.
func (m *Machine) Restore(emitted string, offset int) {
	m.emitted.WriteString(emitted)
	m.offset = offset
	m.mayHaveRun = true
}

// Begin starts the request. The actions that Begin and the other methods return
// are valid until the next call. A request that was abandoned before does not
// start.
func (m *Machine) Begin() []Action {
	m.actions = m.actions[:0]
	if m.ended {
		return m.actions
	}
	if m.offset == 0 {
		m.ask(First)
		return m.actions
	}
	m.askRecovery()
	return m.actions
}

// Granted answers Ask and allows an attempt with the given ID at the given
// endpoint. It returns no actions if the attempt is no longer needed: the request
// has ended, or the silent attempt that it was to replace has gone on.
func (m *Machine) Granted(id, endpointID string) []Action {
	m.actions = m.actions[:0]
	if m.ended || !m.askPending {
		return m.actions
	}
	m.askPending = false
	silent := m.silentAsk
	m.silentAsk = nil
	if silent != nil && !silent.silent && m.find(silent.id) != nil {
		return m.actions
	}
	granted := &attemptState{id: id, endpoint: endpointID}
	send := Action{Kind: Send, Attempt: id, Endpoint: endpointID}
	switch {
	case m.primary != nil:
		if m.successor != nil {
			m.cancel(m.successor)
			m.dropSuccessor()
		}
		m.successor = granted
		if !m.primary.silent {
			send.Source, send.SourceEndpoint = m.primary.id, m.primary.endpoint
		}
	case m.successor != nil:
		// The endpoint of the successor leaves or is silent. The successor was the
		// last running attempt, so it was kept until now.
		m.cancel(m.successor)
		m.successor = nil
		m.primary = granted
	default:
		m.primary = granted
	}
	m.actions = append(m.actions, send)
	return m.actions
}

// Denied answers Ask and reports that no attempt can be made. A running attempt
// continues.
func (m *Machine) Denied(cause error) []Action {
	m.actions = m.actions[:0]
	if m.ended || !m.askPending {
		return m.actions
	}
	m.askPending, m.silentAsk = false, nil
	if m.primary == nil && m.successor == nil {
		m.fail(cause)
	}
	return m.actions
}

// Sent marks an attempt as sent and returns the text and the number of tokens
// that the attempt continues from. It must be called immediately before the first
// byte is sent. The result wanted is false if the attempt is no longer needed.
func (m *Machine) Sent(id string) (emitted string, offset int, wanted bool) {
	a := m.find(id)
	if a == nil || a.sent {
		return "", 0, false
	}
	m.stats.Attempts++
	if m.mayHaveRun || (m.successor == a && m.primary.sent) {
		m.stats.RecomputedTokens += m.config.PromptTokens + m.offset
	}
	a.sent = true
	a.nextOffset = m.offset
	a.deliveredLength = m.emitted.Len()
	return m.emitted.String(), m.offset, true
}

// Refused reports that an endpoint refused an attempt before it answered.
func (m *Machine) Refused(id string, state endpoint.RunState, cause error) []Action {
	m.actions = m.actions[:0]
	if a := m.find(id); a != nil {
		a.provenNotRun = state == endpoint.NotRun && !a.responded
		m.removeFailed(a, cause)
	}
	return m.actions
}

// Lost reports that the connection of an attempt failed or timed out. The
// parameter sent is true if a byte of the request may have been sent.
func (m *Machine) Lost(id string, sent bool, cause error) []Action {
	m.actions = m.actions[:0]
	if a := m.find(id); a != nil {
		a.provenNotRun = !sent && !a.responded
		m.removeFailed(a, cause)
	}
	return m.actions
}

// Notice reports that an endpoint is about to be reclaimed. An attempt at this
// endpoint continues until another attempt generates tokens. The caller of the
// machine may delay Granted while the old attempt can still complete in time.
func (m *Machine) Notice(endpointID string) []Action {
	m.actions = m.actions[:0]
	if m.ended {
		return m.actions
	}
	if a := m.silentAsk; a != nil && a.endpoint == endpointID {
		m.silentAsk = nil
	}
	switch {
	case m.successor != nil && m.successor.endpoint == endpointID && m.primary == nil:
		// No other attempt runs, and the next one may be denied. Granted cancels the
		// successor.
		if !m.askPending {
			m.ask(Handover)
		}
	case m.successor != nil && m.successor.endpoint == endpointID:
		m.cancel(m.successor)
		m.dropSuccessor()
		m.askNext()
	case m.primary != nil && m.primary.endpoint == endpointID && m.successor == nil:
		m.askNext()
	}
	return m.actions
}

// Silent reports that an attempt makes no progress. It requests another attempt,
// and the silent one continues until that generates tokens. If the request is
// denied, the silent attempt continues.
func (m *Machine) Silent(id string, cause error) []Action {
	m.actions = m.actions[:0]
	a := m.find(id)
	if a == nil || !a.sent {
		return m.actions
	}
	a.silent = true
	if m.askPending || (a == m.primary && m.successor != nil) {
		return m.actions
	}
	if m.offset >= m.config.MaxTokens {
		// Only the done frame is missing.
		m.endAttempts(nil)
		m.finish(finishLength, nil)
		return m.actions
	}
	m.cause = cause
	m.silentAsk = a
	m.askRecovery()
	m.actions[len(m.actions)-1].Silent = true
	return m.actions
}

// askNext requests an attempt that replaces the primary or, without a running
// attempt, one that continues the request.
func (m *Machine) askNext() {
	switch {
	case m.askPending:
	case m.primary != nil:
		m.ask(Handover)
	case m.successor == nil:
		m.askRecovery()
	}
}

// Abandon ends the request because its caller has disconnected or its deadline
// has passed.
func (m *Machine) Abandon(cause error) []Action {
	m.actions = m.actions[:0]
	if !m.ended {
		m.fail(cause)
	}
	return m.actions
}

// find returns the primary or the successor with the given ID, or nil.
func (m *Machine) find(id string) *attemptState {
	switch {
	case m.ended:
		return nil
	case m.primary != nil && m.primary.id == id:
		return m.primary
	case m.successor != nil && m.successor.id == id:
		return m.successor
	}
	return nil
}

// removeFailed removes an attempt that ended without a complete answer. It
// requests another one if a successor or the last running attempt has failed.
func (m *Machine) removeFailed(a *attemptState, cause error) {
	m.cause = cause
	m.recordPossibleRun(a)
	wasSuccessor := a == m.successor
	if wasSuccessor {
		m.dropSuccessor()
	} else {
		m.primary = nil
		m.promoteIfCaughtUp()
		if (m.primary != nil && m.primary.sent) || m.successor != nil {
			m.stats.Takeovers++
		}
	}
	switch {
	case m.primary == nil && m.offset >= m.config.MaxTokens:
		// All tokens were delivered and only the done frame is missing.
		m.endAttempts(nil)
		m.finish(finishLength, nil)
	case wasSuccessor, m.primary == nil:
		m.askNext()
	}
}

// recordPossibleRun sets mayHaveRun if an attempt may have run.
func (m *Machine) recordPossibleRun(a *attemptState) {
	m.mayHaveRun = m.mayHaveRun || a.mayHaveRun()
}

// dropSuccessor removes the successor and delivers the tokens of the primary
// that were held back.
func (m *Machine) dropSuccessor() {
	m.successor = nil
	if p := m.primary; p != nil && p.nextOffset > m.offset {
		m.deliver(p.nextOffset-m.offset, p.pendingText.String())
		p.pendingText.Reset()
	}
}

// promoteIfCaughtUp makes the successor of a lost primary the primary, unless the
// successor has yet to regenerate tokens that were delivered.
func (m *Machine) promoteIfCaughtUp() {
	successor := m.successor
	if successor == nil {
		return
	}
	if !successor.sent || (successor.nextOffset == m.offset && successor.deliveredLength == m.emitted.Len()) {
		m.primary, m.successor = successor, nil
	}
}

// askRecovery requests an attempt that continues after the delivered tokens. If
// no token is missing, it finishes the request.
func (m *Machine) askRecovery() {
	switch {
	case m.offset >= m.config.MaxTokens:
		m.finish(finishLength, nil)
	case m.offset > 0:
		m.ask(Resume)
	default:
		m.ask(Retry)
	}
}

func (m *Machine) ask(reason Reason) {
	m.askPending = true
	m.actions = append(m.actions, Action{Kind: Ask, Reason: reason, Offset: m.offset, Cause: m.cause})
}

func (m *Machine) cancel(a *attemptState) {
	m.recordPossibleRun(a)
	m.actions = append(m.actions, Action{Kind: Cancel, Attempt: a.id, Endpoint: a.endpoint})
}

func (m *Machine) deliver(count int, text string) {
	m.actions = append(m.actions, Action{Kind: Deliver, Offset: m.offset, Count: count, Text: text})
	m.offset += count
	m.emitted.WriteString(text)
}

// endAttempts marks the request as ended and cancels all its attempts except the
// given one.
func (m *Machine) endAttempts(except *attemptState) {
	m.ended = true
	for _, a := range []*attemptState{m.primary, m.successor} {
		if a != nil && a != except {
			m.cancel(a)
		}
	}
	m.primary, m.successor = nil, nil
}

func (m *Machine) finish(reason string, usage *endpoint.Usage) {
	m.ended = true
	m.actions = append(m.actions, Action{Kind: Finish, FinishReason: reason, Usage: usage})
}

// fail ends the request without a complete answer. Attempts that were sent and
// are cancelled here count as possibly run.
func (m *Machine) fail(cause error) {
	m.endAttempts(nil)
	state := endpoint.NotRun
	if m.mayHaveRun {
		state = endpoint.RunUnknown
	}
	m.actions = append(m.actions, Action{Kind: Fail, Run: state, Cause: cause})
}
