package attempt

import (
	"strings"

	"github.com/boragelead/boragelead/api/endpoint"
)

// Frame handles a frame that arrived on the stream of an attempt. Frames of
// other attempts, of attempts that ended, and repeated frames are dropped.
func (m *Machine) Frame(id string, frame *endpoint.Frame) []Action {
	m.out = m.out[:0]
	r := m.find(id)
	if r == nil || !r.sent || frame.AttemptID != id {
		m.stats.Dropped++
		return m.out
	}
	switch frame.Type {
	case endpoint.FramePing:
	case endpoint.FrameTokens:
		m.tokens(r, frame)
	case endpoint.FrameDone:
		m.done(r, frame)
	case endpoint.FrameError:
		r.provenNotRun = frame.Run == endpoint.NotRun && !r.answered
		m.failed(r, &EngineError{Code: frame.Code, Message: frame.Error})
	default:
		m.broken(r, &FrameError{Frame: *frame})
	}
	return m.out
}

// broken ends an attempt whose frames cannot be trusted.
func (m *Machine) broken(r *run, cause error) {
	r.answered = true
	m.out = append(m.out, Action{Kind: Cancel, Attempt: r.id, Endpoint: r.endpoint})
	m.failed(r, cause)
}

// tokens checks the offset of a token frame against its own attempt.
func (m *Machine) tokens(r *run, frame *endpoint.Frame) {
	r.answered = true
	end := frame.Offset + frame.Count
	switch {
	case frame.Count <= 0 || frame.Offset < 0 || end > m.config.MaxTokens:
		m.broken(r, &FrameError{Frame: *frame})
	case end <= r.next:
		m.stats.Dropped++
	case frame.Offset > r.next:
		m.broken(r, &GapError{Want: r.next, Got: frame.Offset})
	case frame.Offset < r.next:
		// The text cannot be divided between tokens that are known and new ones.
		m.broken(r, &FrameError{Frame: *frame})
	default:
		r.next = end
		m.accept(r, frame.Count, frame.Text)
	}
}

// accept takes new tokens of an attempt in their order.
func (m *Machine) accept(r *run, count int, text string) {
	switch {
	case r == m.successor:
		r.text.WriteString(text)
		m.takeOver()
	case m.held():
		r.text.WriteString(text)
	default:
		m.deliver(count, text)
	}
}

// held reports whether the tokens of the primary wait for a handover. They do
// once the successor was sent, if it will not generate the same ones.
func (m *Machine) held() bool {
	return m.sampled && m.successor != nil && m.successor.sent
}

// takeOver ends the primary when the successor generates its first token: two
// engines of equal speed keep their distance, so that waiting longer would
// only generate the same tokens twice. The successor delivers once it has
// generated again what was delivered since it was sent.
func (m *Machine) takeOver() {
	s := m.successor
	text := s.text.String()
	since := m.emitted.String()[s.base:]
	common := min(len(text), len(since))
	if text[:common] != since[:common] || (s.next >= m.offset && len(text) < len(since)) ||
		(s.next == m.offset && len(text) != len(since)) {
		m.diverged(s)
		return
	}
	if m.primary != nil {
		m.cancel(m.primary)
		m.primary = nil
		m.stats.Takeovers++
	}
	if s.next < m.offset {
		return
	}
	m.primary, m.successor = s, nil
	s.text.Reset()
	if s.next > m.offset {
		m.deliver(s.next-m.offset, text[len(since):])
	}
}

// diverged drops a successor that generates other tokens than the primary. The
// next handover holds the tokens of the primary back.
func (m *Machine) diverged(s *run) {
	m.sampled = true
	m.broken(s, &DivergedError{Offset: m.offset})
}

// done ends the answer if the attempt has delivered all its tokens.
func (m *Machine) done(r *run, frame *endpoint.Frame) {
	switch {
	case frame.Offset > r.next:
		m.broken(r, &GapError{Want: r.next, Got: frame.Offset})
	case frame.Offset < r.next:
		m.broken(r, &FrameError{Frame: *frame})
	case r == m.successor && (r.next < m.offset || m.primary != nil && !m.held()):
		// It ends before the tokens that another attempt delivered.
		m.diverged(r)
	default:
		m.complete(r, frame)
	}
}

// complete delivers what was held back and ends the request.
func (m *Machine) complete(r *run, frame *endpoint.Frame) {
	if r.next > m.offset {
		m.deliver(r.next-m.offset, strings.Clone(r.text.String()))
	}
	r.answered = true
	m.end(r)
	m.finish(frame.FinishReason, frame.Usage)
}
