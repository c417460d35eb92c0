package engine

import "sync"

// RequestRecord is what engines did for one request.
type RequestRecord struct {
	// Runs counts the attempts that started to run.
	Runs int
	// GeneratedTokens counts generated tokens, repeated ones included.
	GeneratedTokens int
	// RecomputedTokens counts tokens prefilled or generated again after the first run.
	RecomputedTokens int
	// CachedTokens counts prompt tokens taken from the prefix cache or an imported KV cache.
	CachedTokens int
	// highest is the end of the longest answer so far, in tokens.
	highest int
}

// Totals are sums over all requests.
type Totals struct {
	Requests, Runs, GeneratedTokens, RecomputedTokens, CachedTokens int
}

// Ledger records what engines really ran. It is safe for concurrent use and
// can be shared by engines, so that repeated work is seen across them.
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

// Reset forgets everything.
func (l *Ledger) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests = make(map[string]*RequestRecord)
	l.totals = Totals{}
}

// begin records the start of a run with its prefill. A run that resumes or
// follows an earlier run computes its prefill again.
func (l *Ledger) begin(id string, resumed bool, prefill, cached int) {
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

// generated records that tokens from one offset up to another were generated.
func (l *Ledger) generated(id string, from, to int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	record := l.requests[id]
	if record == nil || to <= from {
		return
	}
	record.GeneratedTokens += to - from
	l.totals.GeneratedTokens += to - from
	again := max(0, min(to, record.highest)-from)
	record.RecomputedTokens += again
	l.totals.RecomputedTokens += again
	record.highest = max(record.highest, to)
}
