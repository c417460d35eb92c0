package ledger

import (
	"time"

	"github.com/boragelead/boragelead/internal/port"
)

const (
	// maxGenerations bounds the history. A rollback goes back a few generations.
	// At 2,900 changes a day, 64 generations cover half an hour of constant changes.
	maxGenerations = 64
	// maxHistoryBytes bounds the documents of the history. The newest one is kept
	// whatever its size.
	maxHistoryBytes = 8 << 20
	// maxOperations bounds the remembered operation IDs. They cover 22 days at
	// 2,900 changes a day. A later resend is still checked by the compare-and-set.
	maxOperations = 65536
	// maxOwners is the number of owners above which idle owners are removed.
	maxOwners = 4096
)

// State is the replicated state. It is not safe for concurrent use. Values
// behind pointers are replaced and never modified, so that a frozen view can
// share them.
type State struct {
	// now is the time of the ledger: the sum of the elapsed durations in commands.
	now   time.Duration
	index uint64

	// generations holds the newest generations, oldest first.
	generations []port.Generation
	operations  map[string]*operation
	// operationOrder holds the operation IDs, oldest first.
	operationOrder []string

	claims map[claimKey]*claim
	// running holds the keys of the running claims of each owner.
	running map[string]map[claimKey]struct{}
	// ended lists the ends of claims in the order in which they happened.
	ended  []claimEnd
	owners map[string]*owner
	// released maps attempts that gave up their claim to the time of the release.
	released      map[string]time.Duration
	releasedOrder []string

	leases map[string]*lease
	// displaced holds the time until which a holder that lost a lease to a
	// take-over may not take it over in turn.
	displaced map[displacedKey]time.Duration
	// records holds the newest records of each series, ordered by ascending key.
	records map[string][]port.RecordRequest
}

// New returns an empty State.
func New() *State {
	return &State{
		operations: map[string]*operation{},
		claims:     map[claimKey]*claim{},
		running:    map[string]map[claimKey]struct{}{},
		owners:     map[string]*owner{},
		released:   map[string]time.Duration{},
		leases:     map[string]*lease{},
		displaced:  map[displacedKey]time.Duration{},
		records:    map[string][]port.RecordRequest{},
	}
}

// Apply applies the command at a log index. Empty data is the entry that a new
// leader appends to commit older terms; it changes only the index.
func (s *State) Apply(index uint64, data []byte) Outcome {
	s.index = index
	if len(data) == 0 {
		return Outcome{}
	}
	c, err := DecodeCommand(data)
	if err != nil {
		return Outcome{Invalid: &CommandError{Reason: err.Error()}}
	}
	switch {
	case c.Promote != nil:
		return s.promote(c.Promote)
	case c.Claim != nil:
		return s.claim(c.Claim)
	case c.Complete != nil:
		return s.complete(c.Complete)
	case c.Gone != nil:
		s.ownerGone(c.Gone)
	case c.Lease != nil:
		return s.lease(c.Lease)
	case c.Record != nil:
		return s.record(c.Record)
	case c.Tick != nil:
		s.now += c.Tick.Elapsed
		s.expireClaims(c.Tick.Retention)
	case c.Open != nil:
		s.restartLeases()
	}
	return Outcome{}
}

// Index returns the log index of the last applied command.
func (s *State) Index() uint64 { return s.index }

// Current returns the newest generation. Its number is 0 when there is none.
func (s *State) Current() port.Generation {
	if len(s.generations) == 0 {
		return port.Generation{}
	}
	return s.generations[len(s.generations)-1]
}

// History returns up to limit generations, newest first. A limit of 0 returns
// all generations that are kept.
func (s *State) History(limit int) []port.Generation {
	if limit <= 0 || limit > len(s.generations) {
		limit = len(s.generations)
	}
	list := make([]port.Generation, 0, limit)
	for i := range limit {
		list = append(list, s.generations[len(s.generations)-1-i])
	}
	return list
}
