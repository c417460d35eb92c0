package service

import (
	"net/http"
	"sync"

	"github.com/boragelead/boragelead/api/endpoint"
)

// Run is the record of one execution of a call.
type Run struct {
	Method  string `json:"method"`
	Path    string `json:"path"`
	Body    string `json:"body,omitempty"`
	Attempt string `json:"attempt,omitempty"`
	Key     string `json:"key,omitempty"`
}

// Ledger records the calls that services ran. Several services can share one
// ledger. It is safe for concurrent use.
type Ledger struct {
	mu       sync.Mutex
	runs     []Run
	attempts map[string]int
	keys     map[string]int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{attempts: make(map[string]int), keys: make(map[string]int)}
}

func (l *Ledger) add(run Run) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, run)
	l.attempts[run.Attempt]++
	l.keys[run.Key]++
	return len(l.runs)
}

// Runs returns all runs in the order in which they were recorded.
func (l *Ledger) Runs() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Run(nil), l.runs...)
}

// AttemptRuns returns the number of runs of an attempt; see endpoint.HeaderAttempt.
func (l *Ledger) AttemptRuns(attempt string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.attempts[attempt]
}

// KeyRuns returns the number of runs of calls with an idempotency key; see
// endpoint.HeaderKey.
func (l *Ledger) KeyRuns(key string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.keys[key]
}

// Repeated returns the idempotency keys whose calls ran more than once.
func (l *Ledger) Repeated() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var repeated []string
	for key, count := range l.keys {
		if key != "" && count > 1 {
			repeated = append(repeated, key)
		}
	}
	return repeated
}

// writesTo returns the runs of calls to a path whose method is not GET.
func (l *Ledger) writesTo(path string) []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	found := []Run{}
	for _, run := range l.runs {
		if run.Path == path && run.Method != http.MethodGet {
			found = append(found, run)
		}
	}
	return found
}

// notRun is the value of endpoint.HeaderRun on an answer to a call that was not run.
const notRun = string(endpoint.NotRun)
