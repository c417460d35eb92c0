package engine

import (
	"container/heap"
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/boragelead/boragelead/api/endpoint"
)

// Engine is a running stand-in.
type Engine struct {
	config   Config
	baseURL  string
	server   *http.Server
	listener *faultListener
	ctx      context.Context
	cancel   context.CancelFunc
	// wake starts a round of the batch loop before its time.
	wake chan struct{}
	// announceNow sends an announcement before its time.
	announceNow chan struct{}
	stopped     sync.Once
	// generated counts tokens as they are written.
	generated atomic.Int64

	mu       sync.Mutex
	rand     *rand.Rand
	state    endpoint.State
	role     endpoint.Role
	models   []endpoint.LoadedModel
	loading  map[string]bool
	fencing  uint64
	leaveBy  time.Time
	waiting  waitQueue
	running  []*sequence
	attempts map[string]*sequence
	arrivals uint64
	rounds   uint64
	cache    *prefixCache
	events   eventLog
	exports  map[string]*export
	stalled  time.Time
	fault    FrameFault
	frames   int
}

// Start opens the listener and begins to announce the engine.
func Start(config Config) (*Engine, error) {
	config = config.withDefaults()
	listener, err := net.Listen("tcp", config.Listen)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	e := &Engine{
		config:      config,
		baseURL:     "http://" + listener.Addr().String(),
		listener:    newFaultListener(listener),
		ctx:         ctx,
		cancel:      cancel,
		wake:        make(chan struct{}, 1),
		announceNow: make(chan struct{}, 1),
		rand:        rand.New(rand.NewPCG(config.Seed, Seed(config.ID, "", ""))),
		state:       endpoint.StateReady,
		role:        config.Role,
		models:      config.Models,
		loading:     make(map[string]bool),
		attempts:    make(map[string]*sequence),
		exports:     make(map[string]*export),
	}
	e.cache = newPrefixCache(e.cacheChanged)
	e.server = &http.Server{Handler: e.handler(), ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = e.server.Serve(e.listener) }()
	go e.batchLoop()
	go e.announceLoop()
	return e, nil
}

// BaseURL returns the address of the engine.
func (e *Engine) BaseURL() string { return e.baseURL }

// ID returns the name of the engine.
func (e *Engine) ID() string { return e.config.ID }

// FailureDomain returns the failure domain that the engine announces.
func (e *Engine) FailureDomain() string { return e.config.FailureDomain }

// Incarnation returns the incarnation that the engine announces.
func (e *Engine) Incarnation() uint64 { return e.config.Incarnation }

// Ledger returns the record of what was run.
func (e *Engine) Ledger() *Ledger { return e.config.Ledger }

// GeneratedTokens returns the tokens generated so far, running generations included.
func (e *Engine) GeneratedTokens() int64 { return e.generated.Load() }

// State returns the life-cycle state.
func (e *Engine) State() endpoint.State {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state
}

// Close stops the engine at once: all connections drop and announcements end.
func (e *Engine) Close() {
	e.stopped.Do(func() {
		e.cancel()
		_ = e.server.Close()
		e.endAll()
	})
}

// Replace stops the engine and starts a replacement with the same name and a
// higher incarnation at a new address.
func (e *Engine) Replace() (*Engine, error) {
	e.Close()
	config := e.config
	config.Incarnation++
	return Start(config)
}

// endAll drops all generations and enters them in the ledger.
func (e *Engine) endAll() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.attempts {
		e.drop(s)
	}
	e.running = nil
	e.waiting = nil
}

// submit queues a generation or returns the reason for a refusal.
func (e *Engine) submit(s *sequence) *refusal {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ctx.Err() != nil || e.state != endpoint.StateReady {
		return &refusal{http.StatusServiceUnavailable, endpoint.CodeLeaving, "the engine takes no new work"}
	}
	if !e.holds(s.req.Model, s.req.Version, s.req.Adapter) {
		return &refusal{http.StatusNotFound, endpoint.CodeNoModel, "model, version or adapter is not loaded"}
	}
	if len(e.waiting) >= e.config.MaxWaiting {
		return &refusal{http.StatusTooManyRequests, endpoint.CodeOverloaded, "the waiting queue is full"}
	}
	if e.attempts[s.req.AttemptID] != nil {
		return &refusal{http.StatusConflict, endpoint.CodeBadRequest, "the attempt is already running"}
	}
	if refused := e.useImport(s); refused != nil {
		return refused
	}
	e.arrivals++
	s.order = e.arrivals
	e.attempts[s.req.AttemptID] = s
	heap.Push(&e.waiting, s)
	return nil
}

// end drops a generation whose caller is gone or cancelled it.
func (e *Engine) end(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.drop(s)
}

// drop ends a sequence at once. The caller holds mu.
func (e *Engine) drop(s *sequence) {
	e.settle(s)
	e.release(s)
}

// settle takes a sequence out of the batch and enters it in the ledger. It
// comes before the last frame, so that a caller that has read the whole answer
// finds the ledger complete. The batch loop removes the sequence from its list.
// The caller holds mu.
func (e *Engine) settle(s *sequence) {
	if s.ended {
		return
	}
	s.ended = true
	delete(e.attempts, s.req.AttemptID)
	if s.running {
		e.config.Ledger.generated(s.req.RequestID, s.req.EmittedTokens, s.offset)
	}
}

// release lets the handler of a sequence return. The caller holds mu.
func (e *Engine) release(s *sequence) {
	if !s.released {
		s.released = true
		close(s.done)
	}
}

func (e *Engine) wakeLoop() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// holds reports whether a model is loaded. The caller holds mu.
func (e *Engine) holds(model, version, adapter string) bool {
	for i := range e.models {
		m := &e.models[i]
		if m.Name != model || (version != "" && m.Version != version) {
			continue
		}
		if adapter == "" || contains(m.Adapters, adapter) {
			return true
		}
	}
	return false
}

func contains(list []string, s string) bool {
	for _, item := range list {
		if item == s {
			return true
		}
	}
	return false
}

// errStopped ends an operation of a stopped engine.
var errStopped = errors.New("engine stopped")

// sleep waits for a real duration unless the engine stops or the caller leaves.
func (e *Engine) sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-e.ctx.Done():
		return errStopped
	}
}
