package raft_test

import (
	"bytes"
	"encoding/json"

	"github.com/boragelead/boragelead/internal/core/ledger"
	"github.com/boragelead/boragelead/internal/core/raft"
	"github.com/boragelead/boragelead/internal/port"
)

// naive is a single copy of the ledger without time, indexes or bounds. It
// keeps the history and finds every answer by searching it.
type naive struct {
	promoted []port.PromoteRequest
	answers  []ledger.Outcome
	winners  []port.PromoteRequest
	claims   []*naiveClaim
	released []string
	gone     map[string]uint64
	newest   map[string]uint64
}

type naiveClaim struct {
	req    port.ClaimRequest
	state  port.ClaimState
	result *port.CallResult
}

func newNaive() *naive { return &naive{gone: map[string]uint64{}, newest: map[string]uint64{}} }

func sameOutcome(a, b ledger.Outcome) bool {
	x, _ := json.Marshal(a)
	y, _ := json.Marshal(b)
	return bytes.Equal(x, y)
}

// check compares the outcome of a committed entry with that of the single copy.
func (m *naive) check(e raft.Entry, got ledger.Outcome) {
	if e.Kind != raft.EntryCommand || len(e.Data) == 0 {
		return
	}
	command, err := ledger.DecodeCommand(e.Data)
	if err != nil {
		fail("committed command: %v", err)
	}
	var want ledger.Outcome
	switch {
	case command.Promote != nil:
		want = m.promote(*command.Promote)
		if want.Generation != nil && got.Generation != nil {
			want.Generation.Digest = got.Generation.Digest
		}
	case command.Claim != nil:
		want = m.claim(*command.Claim)
	case command.Complete != nil:
		want = m.complete(*command.Complete)
	case command.Gone != nil:
		if m.newest[command.Gone.Owner] <= command.Gone.Incarnation {
			m.end(command.Gone.Owner, command.Gone.Incarnation+1)
			m.gone[command.Gone.Owner] = command.Gone.Incarnation
			m.newest[command.Gone.Owner] = command.Gone.Incarnation
		}
	default:
		return
	}
	if !sameOutcome(want, got) {
		a, _ := json.Marshal(want)
		b, _ := json.Marshal(got)
		fail("index %d: single copy says %s, ledger says %s", e.Index, a, b)
	}
}

func (m *naive) promote(req port.PromoteRequest) ledger.Outcome {
	for i, known := range m.promoted {
		if known.OperationID != req.OperationID {
			continue
		}
		if known.Expect != req.Expect || !bytes.Equal(known.Document, req.Document) {
			return ledger.Outcome{Reused: &port.OperationReusedError{OperationID: req.OperationID}}
		}
		return m.answers[i]
	}
	var out ledger.Outcome
	current := uint64(len(m.winners))
	if current == req.Expect {
		m.winners = append(m.winners, req)
		out.Generation = &port.Generation{
			Number: current + 1, Document: req.Document, Operator: req.Operator, OperationID: req.OperationID,
		}
	} else {
		out.Conflict = &port.ConflictError{Expect: req.Expect, Current: current}
		if current > 0 {
			out.Conflict.Operator = m.winners[current-1].Operator
		}
	}
	m.promoted, m.answers = append(m.promoted, req), append(m.answers, out)
	return out
}

func (m *naive) find(key string) int {
	for i, c := range m.claims {
		if c.req.Key == key {
			return i
		}
	}
	return -1
}

func (m *naive) end(owner string, below uint64) {
	for _, c := range m.claims {
		if c.state == port.ClaimRunning && c.req.Owner == owner && c.req.Incarnation < below {
			c.state = port.ClaimUnknown
		}
	}
}

func (m *naive) claim(req port.ClaimRequest) ledger.Outcome {
	gone, known := m.gone[req.Owner]
	if req.Incarnation < m.newest[req.Owner] || known && req.Incarnation == gone {
		return ledger.Outcome{Stale: &port.StaleOwnerError{Owner: req.Owner, Incarnation: req.Incarnation}}
	}
	m.newest[req.Owner] = req.Incarnation
	m.end(req.Owner, req.Incarnation)
	at := m.find(req.Key)
	if at < 0 {
		for _, attempt := range m.released {
			if attempt == req.Attempt {
				return ledger.Outcome{Attempt: &port.AttemptError{Attempt: attempt}}
			}
		}
		m.claims = append(m.claims, &naiveClaim{req: req, state: port.ClaimRunning})
		return ledger.Outcome{Claim: &port.ClaimResult{State: port.ClaimGranted}}
	}
	c := m.claims[at]
	out := &port.ClaimResult{State: c.state, Result: c.result}
	if c.state == port.ClaimRunning {
		out.Owner = c.req.Owner
		if c.req.Attempt == req.Attempt {
			out = &port.ClaimResult{State: port.ClaimGranted}
		}
	}
	if c.req.BodyHash != req.BodyHash {
		out = &port.ClaimResult{State: port.ClaimMismatch}
	}
	return ledger.Outcome{Claim: out}
}

func (m *naive) complete(req port.CompleteRequest) ledger.Outcome {
	at := m.find(req.Key)
	if at < 0 || m.claims[at].req.Attempt != req.Attempt {
		if req.Result.Released {
			m.released = append(m.released, req.Attempt)
			return ledger.Outcome{}
		}
		return ledger.Outcome{Attempt: &port.AttemptError{Attempt: req.Attempt}}
	}
	c := m.claims[at]
	switch {
	case c.state == port.ClaimDone:
	case req.Result.Released:
		m.claims = append(m.claims[:at], m.claims[at+1:]...)
		m.released = append(m.released, req.Attempt)
	case req.Result.Unknown:
		c.state = port.ClaimUnknown
	default:
		c.state, c.result = port.ClaimDone, &req.Result
	}
	return ledger.Outcome{}
}
