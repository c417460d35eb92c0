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

// Engine is a running stand-in for a model engine.
type Engine struct {
	config   Config
	baseURL  string
	server   *http.Server
	listener *faultListener
	ctx      context.Context
	cancel   context.CancelFunc
	// wake makes the batch loop start its next round immediately.
	wake chan struct{}
	// announceNow makes the announce loop send an announcement immediately.
	announceNow chan struct{}
	closeOnce   sync.Once
	// generated counts the generated tokens, including those of running generations.
	generated atomic.Int64

	mu            sync.Mutex
	rand          *rand.Rand
	state         endpoint.State
	role          endpoint.Role
	models        []endpoint.LoadedModel
	loading       map[string]bool
	fencingNumber uint64
	leaveDeadline time.Time
	waiting       waitQueue
	running       []*sequence
	attempts      map[string]*sequence
	arrivals      uint64
	rounds        uint64
	cache         *prefixCache
	cacheEvents   cacheEventQueue
	kvCaches      map[string]*kvCache
	stalledUntil  time.Time
	frameFault    FrameFault
	frameCount    int
}

// Start opens the listener and starts announcing the engine.
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
		kvCaches:    make(map[string]*kvCache),
	}
	e.cache = newPrefixCache(e.queueCacheEvent)
	e.server = &http.Server{Handler: e.handler(), ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = e.server.Serve(e.listener) }()
	go e.batchLoop()
	go e.announceLoop()
	return e, nil
}

// BaseURL returns the base URL of the engine.
func (e *Engine) BaseURL() string { return e.baseURL }

// ID returns the endpoint ID of the engine.
func (e *Engine) ID() string { return e.config.ID }

// FailureDomain returns the failure domain that the engine announces.
func (e *Engine) FailureDomain() string { return e.config.FailureDomain }

// Incarnation returns the incarnation that the engine announces.
func (e *Engine) Incarnation() uint64 { return e.config.Incarnation }

// Ledger returns the ledger of the generations that were run.
func (e *Engine) Ledger() *Ledger { return e.config.Ledger }

// GeneratedTokens returns the number of tokens generated so far, including
// those of running generations.
func (e *Engine) GeneratedTokens() int64 { return e.generated.Load() }

// State returns the life-cycle state.
func (e *Engine) State() endpoint.State {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state
}

// Close stops the engine at once: it closes all connections and sends no further
// announcements.
func (e *Engine) Close() {
	e.closeOnce.Do(func() {
		e.cancel()
		_ = e.server.Close()
		e.dropAll()
	})
}

// Replace stops the engine and starts a replacement with the same ID and a
// higher incarnation. The replacement has a new address if Config.Listen has
// port 0.
func (e *Engine) Replace() (*Engine, error) {
	e.Close()
	config := e.config
	config.Incarnation++
	return Start(config)
}

// dropAll drops all generations and records them in the ledger.
func (e *Engine) dropAll() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.attempts {
		e.dropLocked(s)
	}
	e.running = nil
	e.waiting = nil
}

// submit queues a generation, or returns a refusal with the reason.
func (e *Engine) submit(s *sequence) *refusal {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ctx.Err() != nil || e.state != endpoint.StateReady {
		return &refusal{http.StatusServiceUnavailable, endpoint.CodeLeaving, "the engine takes no new work"}
	}
	if !e.hasModel(s.req.Model, s.req.Version, s.req.Adapter) {
		return &refusal{http.StatusNotFound, endpoint.CodeNoModel, "model, version or adapter is not loaded"}
	}
	if len(e.waiting) >= e.config.MaxWaiting {
		return &refusal{http.StatusTooManyRequests, endpoint.CodeOverloaded, "the waiting queue is full"}
	}
	if e.attempts[s.req.AttemptID] != nil {
		return &refusal{http.StatusConflict, endpoint.CodeBadRequest, "the attempt is already running"}
	}
	if refused := e.applyImportedKV(s); refused != nil {
		return refused
	}
	e.arrivals++
	s.arrival = e.arrivals
	e.attempts[s.req.AttemptID] = s
	heap.Push(&e.waiting, s)
	return nil
}

// drop ends a generation at once. It is used when the stream has ended or the
// caller has disconnected.
func (e *Engine) drop(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dropLocked(s)
}

// dropLocked ends a generation at once. The caller holds mu.
func (e *Engine) dropLocked(s *sequence) {
	e.finishLocked(s)
	e.signalDone(s)
}

// finishLocked marks a sequence as ended and records it in the ledger. For a
// complete generation it is called before the last frame is written, so that a
// caller that has read the complete answer finds it in the ledger. The batch
// loop then removes the sequence from its list. The caller holds mu.
func (e *Engine) finishLocked(s *sequence) {
	if s.ended {
		return
	}
	s.ended = true
	delete(e.attempts, s.req.AttemptID)
	if s.running {
		e.config.Ledger.recordGenerated(s.req.RequestID, s.req.EmittedTokens, s.offset)
	}
}

// signalDone closes done, on which the HTTP handler of the sequence waits. The
// caller holds mu.
func (e *Engine) signalDone(s *sequence) {
	if !s.doneClosed {
		s.doneClosed = true
		close(s.done)
	}
}

func (e *Engine) wakeBatchLoop() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// hasModel reports whether a model is loaded. The caller holds mu.
func (e *Engine) hasModel(model, version, adapter string) bool {
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

// errStopped is returned when an operation ends because the engine has stopped.
var errStopped = errors.New("engine stopped")

// sleep waits for a duration of real time. It returns an error if ctx ends or
// the engine stops before.
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
