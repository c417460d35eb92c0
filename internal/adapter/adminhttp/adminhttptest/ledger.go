// Package adminhttptest provides an in-memory ledger for tests of the
// operators' interface.
package adminhttptest

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"sync"

	"github.com/boragelead/boragelead/internal/port"
)

// Ledger stores generations in memory. Claims and leases are not implemented:
// their methods belong to the embedded nil interface and panic.
type Ledger struct {
	port.Ledger
	mu          sync.Mutex
	generations []port.Generation
	requests    map[string]port.PromoteRequest
	// PromoteErr, if set, is returned by Promote. With LoseAnswer the promotion takes
	// effect earlier Promote fails.
	PromoteErr error
	LoseAnswer bool
	// ReadErr, if set, is returned by Current and History.
	ReadErr error
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{requests: map[string]port.PromoteRequest{}} }

// Promote implements port.Ledger.
func (l *Ledger) Promote(_ context.Context, req port.PromoteRequest) (port.Generation, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.PromoteErr != nil && !l.LoseAnswer {
		return port.Generation{}, l.PromoteErr
	}
	generation, err := l.promote(req)
	if l.PromoteErr != nil && err == nil {
		err = l.PromoteErr
	}
	return generation, err
}

func (l *Ledger) promote(req port.PromoteRequest) (port.Generation, error) {
	if earlier, ok := l.requests[req.OperationID]; ok {
		if earlier.Expect != req.Expect || !bytes.Equal(earlier.Document, req.Document) {
			return port.Generation{}, &port.OperationReusedError{OperationID: req.OperationID}
		}
		return l.generations[req.Expect], nil
	}
	current := l.current()
	if current.Number != req.Expect {
		return port.Generation{}, &port.ConflictError{Expect: req.Expect, Current: current.Number, Operator: current.Operator}
	}
	sum := sha256.Sum256(req.Document)
	generation := port.Generation{
		Number: req.Expect + 1, Document: req.Document, Digest: hex.EncodeToString(sum[:]),
		Operator: req.Operator, OperationID: req.OperationID,
	}
	l.generations = append(l.generations, generation)
	l.requests[req.OperationID] = req
	return generation, nil
}

func (l *Ledger) current() port.Generation {
	if len(l.generations) == 0 {
		return port.Generation{}
	}
	return l.generations[len(l.generations)-1]
}

// Current implements port.Ledger.
func (l *Ledger) Current(context.Context) (port.Generation, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current(), l.ReadErr
}

// History implements port.Ledger.
func (l *Ledger) History(_ context.Context, limit int) ([]port.Generation, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	newest := slices.Clone(l.generations)
	slices.Reverse(newest)
	return newest[:min(limit, len(newest))], l.ReadErr
}
