package attempt

import (
	"strings"

	"github.com/boragelead/boragelead/api/endpoint"
)

// Frame handles a frame that was received on the stream of an attempt. It drops
// frames of other attempts, frames of attempts that have ended, and repeated
// frames.
func (m *Machine) Frame(id string, frame *endpoint.Frame) []Action {
	m.actions = m.actions[:0]
	a := m.find(id)
	if a == nil || !a.sent || frame.AttemptID != id {
		m.stats.Dropped++
		return m.actions
	}
	a.silent = false
	switch frame.Type {
	case endpoint.FramePing:
	case endpoint.FrameTokens:
		m.handleTokens(a, frame)
	case endpoint.FrameDone:
		m.handleDone(a, frame)
	case endpoint.FrameError:
		a.provenNotRun = frame.Run == endpoint.NotRun && !a.responded
		m.removeFailed(a, &EngineError{Code: frame.Code, Message: frame.Error})
	default:
		m.rejectAttempt(a, &FrameError{Frame: *frame})
	}
	return m.actions
}

// rejectAttempt cancels an attempt that sent an invalid frame or wrong tokens. The
// attempt counts as run, whatever the endpoint reports.
func (m *Machine) rejectAttempt(a *attemptState, cause error) {
	a.responded = true
	m.actions = append(m.actions, Action{Kind: Cancel, Attempt: a.id, Endpoint: a.endpoint})
	m.removeFailed(a, cause)
}

// handleTokens checks the offset of a token frame against the position of its
// attempt and accepts the tokens if they continue it.
func (m *Machine) handleTokens(a *attemptState, frame *endpoint.Frame) {
	a.responded = true
	end := frame.Offset + frame.Count
	switch {
	case frame.Count <= 0 || frame.Offset < 0 || end > m.config.MaxTokens:
		m.rejectAttempt(a, &FrameError{Frame: *frame})
	case end <= a.nextOffset:
		m.stats.Dropped++
	case frame.Offset > a.nextOffset:
		m.rejectAttempt(a, &GapError{Want: a.nextOffset, Got: frame.Offset})
	case frame.Offset < a.nextOffset:
		// The frame repeats some tokens and adds others. Its text cannot be split
		// between the two.
		m.rejectAttempt(a, &FrameError{Frame: *frame})
	default:
		a.nextOffset = end
		m.acceptTokens(a, frame.Count, frame.Text)
	}
}

// acceptTokens delivers the next tokens of an attempt or stores them for a
// hand-over.
func (m *Machine) acceptTokens(a *attemptState, count int, text string) {
	switch {
	case a == m.successor:
		a.pendingText.WriteString(text)
		m.takeOver()
	case m.holdsBack():
		a.pendingText.WriteString(text)
	default:
		m.deliver(count, text)
	}
}

// holdsBack reports whether the tokens of the primary are stored instead of
// delivered. That is the case after a successor was sent that may generate other
// tokens than the primary.
func (m *Machine) holdsBack() bool {
	return m.nondeterministic && m.successor != nil && m.successor.sent
}

// takeOver cancels the primary when the successor has generated its first token.
// Of two engines of equal speed, the later one never catches up, so a longer
// overlap would only generate the same tokens twice. The successor becomes the
// primary once it has regenerated the tokens that were delivered since it was
// sent.
func (m *Machine) takeOver() {
	successor := m.successor
	generated := successor.pendingText.String()
	deliveredSince := m.emitted.String()[successor.deliveredLength:]
	common := min(len(generated), len(deliveredSince))
	if generated[:common] != deliveredSince[:common] || (successor.nextOffset >= m.offset && len(generated) < len(deliveredSince)) ||
		(successor.nextOffset == m.offset && len(generated) != len(deliveredSince)) {
		m.dropDiverged(successor)
		return
	}
	if m.primary != nil {
		m.cancel(m.primary)
		m.primary = nil
		m.stats.Takeovers++
	}
	if successor.nextOffset < m.offset {
		return
	}
	m.primary, m.successor = successor, nil
	successor.pendingText.Reset()
	if successor.nextOffset > m.offset {
		m.deliver(successor.nextOffset-m.offset, generated[len(deliveredSince):])
	}
}

// dropDiverged cancels a successor that generated other tokens than the primary.
// During the next hand-over the tokens of the primary are held back.
func (m *Machine) dropDiverged(successor *attemptState) {
	m.nondeterministic = true
	m.rejectAttempt(successor, &DivergedError{Offset: m.offset})
}

// handleDone completes the answer if all tokens of the attempt were received.
func (m *Machine) handleDone(a *attemptState, frame *endpoint.Frame) {
	switch {
	case frame.Offset > a.nextOffset:
		m.rejectAttempt(a, &GapError{Want: a.nextOffset, Got: frame.Offset})
	case frame.Offset < a.nextOffset:
		m.rejectAttempt(a, &FrameError{Frame: *frame})
	case a == m.successor && (a.nextOffset < m.offset || m.primary != nil && !m.holdsBack()):
		// The successor ended before it caught up with the delivered tokens, or
		// while the primary still delivers.
		m.dropDiverged(a)
	default:
		m.complete(a, frame)
	}
}

// complete delivers the tokens that were held back and finishes the request.
func (m *Machine) complete(a *attemptState, frame *endpoint.Frame) {
	if a.nextOffset > m.offset {
		m.deliver(a.nextOffset-m.offset, strings.Clone(a.pendingText.String()))
	}
	a.responded = true
	m.endAttempts(a)
	m.finish(frame.FinishReason, frame.Usage)
}
