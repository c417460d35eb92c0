package state

import (
	"context"
	"encoding/hex"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/boragelead/boragelead/internal/gateway/rules"
	"github.com/boragelead/boragelead/internal/port"
)

// maxConflicts bounds the compare-and-set rounds against concurrent changes.
const maxConflicts = 16

// versions remembers the version of the newest generation, so that a document
// is decoded once.
type versions struct {
	mu         sync.Mutex
	generation uint64
	version    uint64
	// table is the document of tableGeneration.
	table           *rules.Table
	tableGeneration uint64
}

// PutDocument stores a document if its version is higher than the stored one.
// An older or equal version is acknowledged and changes nothing. It returns
// once a majority of the replicas has synced the document. The error is a
// *rules.InvalidError or that of the ledger.
func (s *State) PutDocument(ctx context.Context, data []byte, operator string) error {
	document, err := s.options.Decode(data)
	if err != nil {
		return err
	}
	if err := s.awaitVoters(ctx); err != nil {
		return err
	}
	for range maxConflicts {
		current, err := s.replica.Current(ctx)
		if err != nil {
			return err
		}
		stored, err := s.versionOf(&current)
		if err != nil {
			return err
		}
		if document.Version <= stored {
			s.log.Info("Document is not newer than the stored one.", zap.Uint64("version", document.Version), zap.Uint64("stored", stored))
			return nil
		}
		generation, err := s.replica.Promote(ctx, port.PromoteRequest{
			OperationID: newOperationID(), Expect: current.Number, Document: data, Operator: operator,
		})
		var conflict *port.ConflictError
		if errors.As(err, &conflict) {
			continue
		}
		if err == nil {
			s.options.Metrics.Counter("state_documents").Inc()
			s.log.Info("Document stored.", zap.Uint64("version", document.Version), zap.Uint64("generation", generation.Number))
		}
		return err
	}
	return &port.NoQuorumError{Group: "main", Err: errTooManyChanges}
}

const (
	// formTime bounds how long after its start a new group may have fewer voters
	// than seeds; a seed that is down must not keep documents out for longer.
	formTime = 4 * time.Second
	formStep = 25 * time.Millisecond
)

// awaitVoters waits until a new group has grown to as many voters as there are
// seeds: a document that is acknowledged by a single disk would be lost with it.
func (s *State) awaitVoters(ctx context.Context) error {
	for time.Since(s.started) < formTime && s.voters() < len(s.options.Settings.Seeds) {
		select {
		case <-time.After(formStep):
		case <-ctx.Done():
			return &port.NoQuorumError{Group: "main", Err: ctx.Err()}
		}
	}
	return nil
}

// voters returns the number of voters as far as is known here.
func (s *State) voters() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.status == nil {
		return 0
	}
	return len(s.status.Config.Voters)
}

// errTooManyChanges says that other changes won every round.
var errTooManyChanges = errors.New("concurrent changes won every round")

// newOperationID draws an ID: a resend is recognised by its version, not by its ID.
func newOperationID() string {
	var raw [16]byte
	for i := range raw {
		raw[i] = byte(rand.Uint32())
	}
	return hex.EncodeToString(raw[:])
}

// versionOf returns the version of a stored generation, 0 for none.
func (s *State) versionOf(g *port.Generation) (uint64, error) {
	if g.Number == 0 {
		return 0, nil
	}
	s.versions.mu.Lock()
	defer s.versions.mu.Unlock()
	if s.versions.generation == g.Number {
		return s.versions.version, nil
	}
	document, err := s.options.Decode(g.Document)
	if err != nil {
		return 0, err
	}
	s.versions.generation = g.Number
	s.versions.version = document.Version
	return document.Version, nil
}

// GetDocument returns the newest document as it was sent, by a linearizable
// read; nil means none.
func (s *State) GetDocument(ctx context.Context) ([]byte, error) {
	current, err := s.replica.Current(ctx)
	if err != nil {
		return nil, err
	}
	return current.Document, nil
}

// rules returns the newest document that this replica applied, or nil.
func (s *State) rules() *rules.Table {
	generation, _ := s.replica.Newest()
	if generation.Number == 0 {
		return nil
	}
	s.versions.mu.Lock()
	defer s.versions.mu.Unlock()
	if s.versions.table != nil && s.versions.tableGeneration == generation.Number {
		return s.versions.table
	}
	document, err := s.options.Decode(generation.Document)
	if err != nil {
		s.log.Error("Document not usable.", zap.Uint64("generation", generation.Number), zap.Error(err))
		return nil
	}
	s.versions.table = rules.NewTable(document)
	s.versions.tableGeneration = generation.Number
	return s.versions.table
}
