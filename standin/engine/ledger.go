package engine

import "sync"

// RequestRecord counts the work that engines did for one request.
type RequestRecord struct {
	// Runs counts the attempts that were started.
	Runs int
	// GeneratedTokens counts the generated tokens, including those that were
	// generated more than once.
	GeneratedTokens int
	// RecomputedTokens counts the tokens that resumed and repeated runs prefilled
	// or generated again.
	RecomputedTokens int
	// CachedTokens counts the prompt tokens that came from the prefix cache or
	// from an imported KV cache.
	CachedTokens int
	// maxOffset is the length of the longest answer so far, in tokens.
	maxOffset int
}

// Totals holds the sums over all requests.
type Totals struct {
	Requests, Runs, GeneratedTokens, RecomputedTokens, CachedTokens int
}

// Ledger records the generations that engines actually ran. Several engines can
// share one ledger, so that work repeated on another engine is counted as such.
// It is safe for concurrent use.
type Ledger struct {
	mu       sync.Mutex
	requests map[string]*RequestRecord
	totals   Totals
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{requests: make(map[string]*RequestRecord)}
}

// Request returns the record of a request.
func (l *Ledger) Request(id string) RequestRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	if record := l.requests[id]; record != nil {
		return *record
	}
	return RequestRecord{}
}

// Totals returns the sums over all requests.
func (l *Ledger) Totals() Totals {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.totals
}

// Reset deletes all records.
func (l *Ledger) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests = make(map[string]*RequestRecord)
	l.totals = Totals{}
}

// recordStart records the start of a run with its prefill. The prefill counts as
// recomputed if the run resumes an answer or the request was run before.
func (l *Ledger) recordStart(id string, resumed bool, prefill, cached int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	record := l.requests[id]
	if record == nil {
		record = &RequestRecord{}
		l.requests[id] = record
		l.totals.Requests++
	}
	if record.Runs > 0 || resumed {
		record.RecomputedTokens += prefill
		l.totals.RecomputedTokens += prefill
	}
	record.Runs++
	record.CachedTokens += cached
	l.totals.Runs++
	l.totals.CachedTokens += cached
}

// recordGenerated records that the tokens from offset from up to, but not
// including, offset to were generated.
func (l *Ledger) recordGenerated(id string, from, to int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	record := l.requests[id]
	if record == nil || to <= from {
		return
	}
	record.GeneratedTokens += to - from
	l.totals.GeneratedTokens += to - from
	repeated := max(0, min(to, record.maxOffset)-from)
	record.RecomputedTokens += repeated
	l.totals.RecomputedTokens += repeated
	record.maxOffset = max(record.maxOffset, to)
}
