package attempt

import (
	"strings"

	"github.com/boragelead/boragelead/api/endpoint"
)

// finishLength is the finish reason of an answer that has all its tokens.
const finishLength = "length"

// Config describes a request.
type Config struct {
	// MaxTokens bounds the answer.
	MaxTokens    int
	PromptTokens int
	// Sampled says that two attempts with the same prompt may generate
	// different tokens. A handover then holds back the tokens of the old
	// attempt, because the new one does not continue from them.
	Sampled bool
}

// run is one attempt.
type run struct {
	id, endpoint string
	sent         bool
	// provenNotRun is set when the endpoint did not run the attempt for sure.
	provenNotRun bool
	// answered is set when a token arrived: then it ran, whatever is said later.
	answered bool
	// next is the offset of the next token of this attempt.
	next int
	// base is the length of the delivered text when the attempt was sent.
	base int
	// text collects the tokens of a successor until it takes over, and those
	// of a held primary.
	text strings.Builder
}

// Machine is the state of one request.
type Machine struct {
	config Config
	// primary delivers tokens; nil while no attempt does.
	primary *run
	// successor is to take over from the primary, or to catch up with what a
	// lost primary delivered.
	successor *run
	asking    bool
	ended     bool
	// ran is set when an attempt that ended may have run.
	ran bool
	// sampled is set when attempts differ.
	sampled bool
	offset  int
	emitted strings.Builder
	cause   error
	stats   Stats
	out     []Action
}

// New returns the machine of a request.
func New(config Config) *Machine {
	return &Machine{config: config, sampled: config.Sampled}
}

// Offset returns the number of tokens delivered so far.
func (m *Machine) Offset() int { return m.offset }

// Emitted returns the text delivered so far.
func (m *Machine) Emitted() string { return m.emitted.String() }

// Ended reports whether Finish or Fail was returned.
func (m *Machine) Ended() bool { return m.ended }

// Running reports whether an attempt is still of use.
func (m *Machine) Running(id string) bool { return m.find(id) != nil }

// Stats returns the counts so far.
func (m *Machine) Stats() Stats { return m.stats }

// Restore starts from tokens that another entry delivered before it handed the
// request over. It is called before Begin.
func (m *Machine) Restore(emitted string, offset int) {
	m.emitted.WriteString(emitted)
	m.offset = offset
	m.ran = true
}

// Begin starts the request. The returned actions of all methods are valid
// until the next call.
func (m *Machine) Begin() []Action {
	m.out = m.out[:0]
	if m.offset == 0 {
		m.ask(First)
		return m.out
	}
	m.recover()
	return m.out
}

// Granted answers Ask: an attempt may be made under an ID at an endpoint. An
// answer without actions means that the attempt is not needed any more.
func (m *Machine) Granted(id, endpointID string) []Action {
	m.out = m.out[:0]
	if m.ended || !m.asking {
		return m.out
	}
	m.asking = false
	added := &run{id: id, endpoint: endpointID}
	send := Action{Kind: Send, Attempt: id, Endpoint: endpointID}
	if m.primary != nil {
		m.successor = added
		send.Source, send.SourceEndpoint = m.primary.id, m.primary.endpoint
	} else {
		m.primary = added
	}
	m.out = append(m.out, send)
	return m.out
}

// Denied answers Ask: no attempt can be made. A handover that is denied leaves
// the old attempt running.
func (m *Machine) Denied(cause error) []Action {
	m.out = m.out[:0]
	if m.ended || !m.asking {
		return m.out
	}
	m.asking = false
	if m.primary == nil && m.successor == nil {
		m.fail(cause)
	}
	return m.out
}

// Sent marks an attempt as sent, right before its first byte may leave, and
// returns the text and number of tokens that it continues from. It reports
// false if the attempt is not wanted any more.
func (m *Machine) Sent(id string) (emitted string, offset int, wanted bool) {
	r := m.find(id)
	if r == nil || r.sent {
		return "", 0, false
	}
	m.stats.Attempts++
	if m.ran || (m.successor == r && m.primary.sent) {
		m.stats.RecomputedTokens += m.config.PromptTokens + m.offset
	}
	r.sent = true
	r.next = m.offset
	r.base = m.emitted.Len()
	return m.emitted.String(), m.offset, true
}

// Refused says that an endpoint refused an attempt before it answered.
func (m *Machine) Refused(id string, state endpoint.RunState, cause error) []Action {
	m.out = m.out[:0]
	if r := m.find(id); r != nil {
		r.provenNotRun = state == endpoint.NotRun && !r.answered
		m.failed(r, cause)
	}
	return m.out
}

// Lost says that the connection of an attempt failed or went silent. Sent is
// whether a byte of the request may have left.
func (m *Machine) Lost(id string, sent bool, cause error) []Action {
	m.out = m.out[:0]
	if r := m.find(id); r != nil {
		r.provenNotRun = !sent && !r.answered
		m.failed(r, cause)
	}
	return m.out
}

// Notice says that an endpoint is about to be reclaimed. An attempt there goes
// on until another one generates. The caller of the machine may wait with
// Granted while the old attempt can still end in time.
func (m *Machine) Notice(endpointID string) []Action {
	m.out = m.out[:0]
	if m.ended {
		return m.out
	}
	switch {
	case m.successor != nil && m.successor.endpoint == endpointID:
		m.cancel(m.successor)
		m.dropSuccessor()
		m.askOn()
	case m.primary != nil && m.primary.endpoint == endpointID && m.successor == nil:
		m.askOn()
	}
	return m.out
}

// askOn asks for an attempt that takes over or goes on.
func (m *Machine) askOn() {
	switch {
	case m.asking:
	case m.primary != nil:
		m.ask(Handover)
	case m.successor == nil:
		m.recover()
	}
}

// Abandon ends the request: the caller is gone or its deadline has passed.
func (m *Machine) Abandon(cause error) []Action {
	m.out = m.out[:0]
	if !m.ended {
		m.fail(cause)
	}
	return m.out
}

// find returns a running attempt.
func (m *Machine) find(id string) *run {
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

// failed removes an attempt that ended without a whole answer, and asks for
// another one where none is left to go on.
func (m *Machine) failed(r *run, cause error) {
	m.cause = cause
	m.retire(r)
	wasSuccessor := r == m.successor
	if wasSuccessor {
		m.dropSuccessor()
	} else {
		m.primary = nil
		m.promoteIfEven()
		if (m.primary != nil && m.primary.sent) || m.successor != nil {
			m.stats.Takeovers++
		}
	}
	switch {
	case m.primary == nil && m.offset >= m.config.MaxTokens:
		// Only the last frame is missing.
		m.end(nil)
		m.finish(finishLength, nil)
	case wasSuccessor, m.primary == nil:
		m.askOn()
	}
}

// retire notes whether an attempt may have run.
func (m *Machine) retire(r *run) {
	if r.sent && !r.provenNotRun {
		m.ran = true
	}
}

// dropSuccessor forgets the successor; what was held back for it is delivered.
func (m *Machine) dropSuccessor() {
	m.successor = nil
	if p := m.primary; p != nil && p.next > m.offset {
		m.deliver(p.next-m.offset, p.text.String())
		p.text.Reset()
	}
}

// promoteIfEven makes the successor of a lost primary the primary, unless it
// still has to catch up with what was delivered.
func (m *Machine) promoteIfEven() {
	s := m.successor
	if s == nil {
		return
	}
	if !s.sent || (s.next == m.offset && s.base == m.emitted.Len()) {
		m.primary, m.successor = s, nil
	}
}

// recover asks for an attempt that goes on from what was delivered.
func (m *Machine) recover() {
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
	m.asking = true
	m.out = append(m.out, Action{Kind: Ask, Reason: reason, Offset: m.offset, Cause: m.cause})
}

func (m *Machine) cancel(r *run) {
	m.retire(r)
	m.out = append(m.out, Action{Kind: Cancel, Attempt: r.id, Endpoint: r.endpoint})
}

func (m *Machine) deliver(count int, text string) {
	m.out = append(m.out, Action{Kind: Deliver, Offset: m.offset, Count: count, Text: text})
	m.offset += count
	m.emitted.WriteString(text)
}

// end cancels what still runs.
func (m *Machine) end(except *run) {
	m.ended = true
	for _, r := range []*run{m.primary, m.successor} {
		if r != nil && r != except {
			m.cancel(r)
		}
	}
	m.primary, m.successor = nil, nil
}

func (m *Machine) finish(reason string, usage *endpoint.Usage) {
	m.ended = true
	m.out = append(m.out, Action{Kind: Finish, FinishReason: reason, Usage: usage})
}

// fail ends the request. Attempts that still run may have run.
func (m *Machine) fail(cause error) {
	m.end(nil)
	state := endpoint.NotRun
	if m.ran {
		state = endpoint.RunUnknown
	}
	m.out = append(m.out, Action{Kind: Fail, Run: state, Cause: cause})
}
