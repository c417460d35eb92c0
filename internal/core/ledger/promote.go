package ledger

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/boragelead/boragelead/internal/port"
)

// operation is the first outcome of the request with an operation ID.
type operation struct {
	ID string `json:"id"`
	// Request is the digest of the request. It detects a different request with the same ID.
	Request string `json:"request"`
	// Number is the generation that the operation created, or 0 if it was refused with a conflict.
	Number uint64 `json:"number"`
	// Current and Winner are the generation number and its operator that a refused
	// operation conflicted with.
	Current uint64 `json:"current"`
	Winner  string `json:"winner"`
}

func (s *State) promote(req *port.PromoteRequest) Outcome {
	request := requestDigest(req)
	if known := s.operations[req.OperationID]; known != nil {
		if known.Request != request {
			return Outcome{Reused: &port.OperationReusedError{OperationID: req.OperationID}}
		}
		return known.outcome(req)
	}
	current := s.Current()
	op := &operation{ID: req.OperationID, Request: request}
	if current.Number == req.Expect {
		op.Number = current.Number + 1
		s.addGeneration(newGeneration(req, op.Number))
	} else {
		op.Current, op.Winner = current.Number, current.Operator
	}
	s.rememberOperation(op)
	return op.outcome(req)
}

// outcome returns the outcome of the remembered operation. It takes the document
// of a promoted generation from req, which is equal to the first request.
func (o *operation) outcome(req *port.PromoteRequest) Outcome {
	if o.Number == 0 {
		return Outcome{Conflict: &port.ConflictError{Expect: req.Expect, Current: o.Current, Operator: o.Winner}}
	}
	g := newGeneration(req, o.Number)
	return Outcome{Generation: &g}
}

func newGeneration(req *port.PromoteRequest, number uint64) port.Generation {
	digest := sha256.Sum256(req.Document)
	return port.Generation{
		Number: number, Document: req.Document, Digest: hex.EncodeToString(digest[:]),
		Operator: req.Operator, OperationID: req.OperationID,
	}
}

func requestDigest(req *port.PromoteRequest) string {
	hash := sha256.New()
	fmt.Fprintf(hash, "%d %d %s ", req.Expect, len(req.Operator), req.Operator)
	hash.Write(req.Document)
	return hex.EncodeToString(hash.Sum(nil))
}

func (s *State) addGeneration(g port.Generation) {
	s.generations = append(s.generations, g)
	if extra := s.excessGenerations(); extra > 0 {
		// The slice is copied because a frozen view may share the old one.
		s.generations = append([]port.Generation(nil), s.generations[extra:]...)
	}
}

// excessGenerations returns how many of the oldest generations exceed the bounds of
// the history.
func (s *State) excessGenerations() int {
	kept, size := 0, 0
	for kept < min(len(s.generations), maxGenerations) {
		size += len(s.generations[len(s.generations)-1-kept].Document)
		if size > maxHistoryBytes && kept > 0 {
			break
		}
		kept++
	}
	return len(s.generations) - kept
}

func (s *State) rememberOperation(op *operation) {
	s.operations[op.ID] = op
	s.operationOrder = append(s.operationOrder, op.ID)
	for len(s.operationOrder) > maxOperations {
		delete(s.operations, s.operationOrder[0])
		s.operationOrder = s.operationOrder[1:]
	}
}
