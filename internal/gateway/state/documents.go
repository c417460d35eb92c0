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
	"github.com/boragelead/boragelead/internal/wait"
)

// maxPromoteAttempts bounds the compare-and-set attempts of PutDocument when
// concurrent changes interfere.
const maxPromoteAttempts = 16

// documentCache caches what was decoded from the newest generation, so that each
// document is decoded once per use.
type documentCache struct {
	mu         sync.Mutex
	generation uint64
	version    uint64
	// table is built from the document of tableGeneration.
	table           *rules.Table
	tableGeneration uint64
}

// PutDocument stores a document if its version is higher than that of the stored
// one. It returns after a majority of the replicas has synced the document to
// disk. An older or equal version changes nothing and is not an error. The error
// is a *rules.InvalidError or an error of the ledger.
func (s *State) PutDocument(ctx context.Context, data []byte, operator string) error {
	document, err := s.options.Decode(data)
	if err != nil {
		return err
	}
	packed, err := compressDocument(data)
	if err != nil {
		return err
	}
	if err := s.awaitVoters(ctx); err != nil {
		return err
	}
	for range maxPromoteAttempts {
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
			OperationID: newOperationID(), Expect: current.Number, Document: packed, Operator: operator,
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
	// formationTime is how long after its start a replica delays documents while
	// the group has fewer voters than seeds. A seed that is down must not block
	// documents for longer.
	formationTime = 4 * time.Second
	// formationPoll is how often the number of voters is checked meanwhile.
	formationPoll = 25 * time.Millisecond
)

// awaitVoters waits until a new group has as many voters as seeds, for at most
// formationTime. A document that only one voter has stored would be lost with the
// disk of that voter.
func (s *State) awaitVoters(ctx context.Context) error {
	for time.Since(s.started) < formationTime && s.voterCount() < len(s.options.Settings.Seeds) {
		if !wait.For(ctx, formationPoll) {
			return &port.NoQuorumError{Group: "main", Err: ctx.Err()}
		}
	}
	return nil
}

// voterCount returns the number of voters in the last known configuration.
func (s *State) voterCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.status == nil {
		return 0
	}
	return len(s.status.Config.Voters)
}

// errTooManyChanges reports that each compare-and-set attempt lost against a
// concurrent change.
var errTooManyChanges = errors.New("concurrent changes won every round")

// newOperationID returns a random ID. A fresh ID per attempt is safe, because a
// resent document is recognised by its version and not by its operation ID.
func newOperationID() string {
	var raw [16]byte
	for i := range raw {
		raw[i] = byte(rand.Uint32())
	}
	return hex.EncodeToString(raw[:])
}

// versionOf returns the document version of a generation, or 0 if no document is
// stored.
func (s *State) versionOf(g *port.Generation) (uint64, error) {
	if g.Number == 0 {
		return 0, nil
	}
	s.documentCache.mu.Lock()
	defer s.documentCache.mu.Unlock()
	if s.documentCache.generation == g.Number {
		return s.documentCache.version, nil
	}
	document, err := s.decodeStored(g.Document)
	if err != nil {
		return 0, err
	}
	s.documentCache.generation = g.Number
	s.documentCache.version = document.Version
	return document.Version, nil
}

// GetDocument returns the newest document byte for byte as it was put, by a
// linearizable read. It returns nil if no document is stored.
func (s *State) GetDocument(ctx context.Context) ([]byte, error) {
	current, err := s.replica.Current(ctx)
	if err != nil {
		return nil, err
	}
	return decompressDocument(current.Document)
}

// decodeStored decodes a document as the log stores it.
func (s *State) decodeStored(stored []byte) (*rules.Document, error) {
	data, err := decompressDocument(stored)
	if err != nil {
		return nil, err
	}
	return s.options.Decode(data)
}

// currentRules returns the rules of the newest document that this replica has
// applied. It returns nil if there is none or if it cannot be decoded.
func (s *State) currentRules() *rules.Table {
	generation, _ := s.replica.NewestGeneration()
	if generation.Number == 0 {
		return nil
	}
	s.documentCache.mu.Lock()
	defer s.documentCache.mu.Unlock()
	if s.documentCache.table != nil && s.documentCache.tableGeneration == generation.Number {
		return s.documentCache.table
	}
	document, err := s.decodeStored(generation.Document)
	if err != nil {
		s.log.Error("Stored document not decoded; no quota is granted and no endpoints are ordered.", zap.Uint64("generation", generation.Number), zap.Error(err))
		return nil
	}
	s.documentCache.table = rules.NewTable(document)
	s.documentCache.tableGeneration = generation.Number
	return s.documentCache.table
}
