package raft_test

import (
	"bytes"
	"encoding/json"

	"github.com/boragelead/boragelead/internal/core/ledger"
	"github.com/boragelead/boragelead/internal/core/raft"
	"github.com/boragelead/boragelead/internal/port"
)

// ledgerModel is a reference model of the ledger without replication, time,
// indexes or bounds. It keeps the history and searches it for every answer.
type ledgerModel struct {
	requests          []port.PromoteRequest
	outcomes          []ledger.Outcome
	accepted          []port.PromoteRequest
	claims            []*modelClaim
	releasedAttempts  []string
	goneIncarnation   map[string]uint64
	newestIncarnation map[string]uint64
}

type modelClaim struct {
	req    port.ClaimRequest
	state  port.ClaimState
	result *port.CallResult
}

func newLedgerModel() *ledgerModel {
	return &ledgerModel{goneIncarnation: map[string]uint64{}, newestIncarnation: map[string]uint64{}}
}

func sameOutcome(a, b ledger.Outcome) bool {
	x, _ := json.Marshal(a)
	y, _ := json.Marshal(b)
	return bytes.Equal(x, y)
}

// check compares the outcome of a committed entry with that of the model.
func (m *ledgerModel) check(e raft.Entry, got ledger.Outcome) {
	if e.Kind != raft.EntryCommand || len(e.Data) == 0 {
		return
	}
	command, err := ledger.DecodeCommand(e.Data)
	if err != nil {
		fail("decode committed command: %v", err)
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
		if m.newestIncarnation[command.Gone.Owner] <= command.Gone.Incarnation {
			m.makeUnknown(command.Gone.Owner, command.Gone.Incarnation+1)
			m.goneIncarnation[command.Gone.Owner] = command.Gone.Incarnation
			m.newestIncarnation[command.Gone.Owner] = command.Gone.Incarnation
		}
	default:
		return
	}
	if !sameOutcome(want, got) {
		a, _ := json.Marshal(want)
		b, _ := json.Marshal(got)
		fail("index %d: the model returns %s, the ledger returns %s", e.Index, a, b)
	}
}

func (m *ledgerModel) promote(req port.PromoteRequest) ledger.Outcome {
	for i, known := range m.requests {
		if known.OperationID != req.OperationID {
			continue
		}
		if known.Expect != req.Expect || !bytes.Equal(known.Document, req.Document) {
			return ledger.Outcome{Reused: &port.OperationReusedError{OperationID: req.OperationID}}
		}
		return m.outcomes[i]
	}
	var out ledger.Outcome
	current := uint64(len(m.accepted))
	if current == req.Expect {
		m.accepted = append(m.accepted, req)
		out.Generation = &port.Generation{
			Number: current + 1, Document: req.Document, Operator: req.Operator, OperationID: req.OperationID,
		}
	} else {
		out.Conflict = &port.ConflictError{Expect: req.Expect, Current: current}
		if current > 0 {
			out.Conflict.Operator = m.accepted[current-1].Operator
		}
	}
	m.requests, m.outcomes = append(m.requests, req), append(m.outcomes, out)
	return out
}

func (m *ledgerModel) find(key string) int {
	for i, c := range m.claims {
		if c.req.Key == key {
			return i
		}
	}
	return -1
}

func (m *ledgerModel) makeUnknown(owner string, below uint64) {
	for _, c := range m.claims {
		if c.state == port.ClaimRunning && c.req.Owner == owner && c.req.Incarnation < below {
			c.state = port.ClaimUnknown
		}
	}
}

func (m *ledgerModel) claim(req port.ClaimRequest) ledger.Outcome {
	goneIncarnation, known := m.goneIncarnation[req.Owner]
	if req.Incarnation < m.newestIncarnation[req.Owner] || known && req.Incarnation == goneIncarnation {
		return ledger.Outcome{Stale: &port.StaleOwnerError{Owner: req.Owner, Incarnation: req.Incarnation}}
	}
	m.newestIncarnation[req.Owner] = req.Incarnation
	m.makeUnknown(req.Owner, req.Incarnation)
	at := m.find(req.Key)
	if at < 0 {
		for _, attempt := range m.releasedAttempts {
			if attempt == req.Attempt {
				return ledger.Outcome{Attempt: &port.AttemptError{Attempt: attempt}}
			}
		}
		m.claims = append(m.claims, &modelClaim{req: req, state: port.ClaimRunning})
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

func (m *ledgerModel) complete(req port.CompleteRequest) ledger.Outcome {
	at := m.find(req.Key)
	if at < 0 || m.claims[at].req.Attempt != req.Attempt {
		if req.Result.Released {
			m.releasedAttempts = append(m.releasedAttempts, req.Attempt)
			return ledger.Outcome{}
		}
		return ledger.Outcome{Attempt: &port.AttemptError{Attempt: req.Attempt}}
	}
	c := m.claims[at]
	switch {
	case c.state == port.ClaimDone:
	case req.Result.Released:
		m.claims = append(m.claims[:at], m.claims[at+1:]...)
		m.releasedAttempts = append(m.releasedAttempts, req.Attempt)
	case req.Result.Unknown:
		c.state = port.ClaimUnknown
	default:
		c.state, c.result = port.ClaimDone, &req.Result
	}
	return ledger.Outcome{}
}
