package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/boragelead/boragelead/internal/core/conf"
	"github.com/boragelead/boragelead/internal/core/member"
	"github.com/boragelead/boragelead/internal/core/retry"
	"github.com/boragelead/boragelead/internal/core/route"
	"github.com/boragelead/boragelead/internal/core/suspect"
	"github.com/boragelead/boragelead/internal/guard"
)

const (
	// maintenanceInterval is the interval at which capacities, circuit breakers
	// and deadlines are updated.
	maintenanceInterval = 100 * time.Millisecond
	// expiryInterval is the interval at which expired state is deleted and
	// abandoned requests are cancelled.
	expiryInterval = 5 * time.Second
)

// Service answers the requests of callers.
type Service struct {
	options         Options
	log             *zap.Logger
	metrics         *serviceMetrics
	router          *route.Router
	lengths         *route.Lengths
	directory       *directory
	pools           *pools
	budget          *retry.Budget
	tracker         *suspect.Tracker
	runningRequests *suspect.RunningRequests
	journals        *Journals
	exchange        *exchange

	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	inFlight   atomic.Int64
	draining   atomic.Bool
	// ownerIncarnation counts how often the other daemons declared this daemon
	// dead.
	ownerIncarnation atomic.Uint64
	// isolatedEndpoints is the number of endpoints reserved for suspect
	// requests.
	isolatedEndpoints atomic.Int64
	// serviceRoundRobin counts the calls to plain services, to select their
	// endpoints round-robin.
	serviceRoundRobin atomic.Uint32
	// configGeneration is the number of the configuration that all decisions
	// use. It is stored after all of them were configured, while configMu is
	// held.
	configGeneration atomic.Uint64
	configMu         sync.Mutex
}

// New returns a service. Start begins its background work.
func New(options Options) *Service {
	ctx, cancel := context.WithCancel(context.Background())
	empty := &conf.Document{}
	s := &Service{
		options:         options,
		log:             options.Log.Named("[entry]"),
		metrics:         newServiceMetrics(options.Metrics),
		router:          route.New(),
		lengths:         route.NewLengths(),
		budget:          retry.NewBudget(empty.Retry),
		tracker:         suspect.NewTracker(empty.Retry),
		runningRequests: suspect.NewRunningRequests(),
		journals:        NewJournals(),
		ctx:             ctx,
		cancel:          cancel,
	}
	s.directory = newDirectory(s)
	s.pools = newPools(s)
	s.exchange = newExchange(s)
	return s
}

// Start begins the background work.
func (s *Service) Start() {
	s.configure()
	s.goLoop(func() { s.runEvery(maintenanceInterval, s.maintain) })
	s.goLoop(func() { s.runEvery(expiryInterval, s.expire) })
	s.goLoop(func() { s.directory.fetchLoop(s.ctx) })
}

// goLoop runs a loop in the background until the service is closed, again after a panic.
func (s *Service) goLoop(loop func()) {
	s.goroutines.Go(func() {
		guard.Loop(s.ctx, loop, func(err error) { s.log.Error("Background task failed unexpectedly and runs again.", zap.Error(err)) })
	})
}

// Close stops the background work and cancels the running requests.
func (s *Service) Close() {
	s.cancel()
	s.goroutines.Wait()
}

func (s *Service) runEvery(interval time.Duration, step func(now time.Time)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			step(now)
		case <-s.ctx.Done():
			return
		}
	}
}

// configure applies a new generation of the configuration and returns it.
// Concurrent requests wait until it is applied completely.
func (s *Service) configure() *conf.Active {
	active := s.options.Config.Current()
	if active == nil || s.configGeneration.Load() == active.Generation {
		return active
	}
	s.configMu.Lock()
	defer s.configMu.Unlock()
	active = s.options.Config.Current()
	if s.configGeneration.Load() == active.Generation {
		return active
	}
	s.router.Configure(active.Document)
	s.budget.Configure(active.Document.Retry)
	s.tracker.Configure(active.Document.Retry)
	s.pools.configure(active.Document)
	s.directory.invalidate()
	s.configGeneration.Store(active.Generation)
	return active
}

func (s *Service) maintain(now time.Time) {
	if s.configure() == nil {
		return
	}
	s.directory.refresh(now)
	s.pools.maintain(now)
	s.exchange.step(now)
}

func (s *Service) expire(now time.Time) {
	s.journals.Expire(now)
	s.tracker.Expire(now)
	s.cancelAbandoned(now)
}

// cancelAbandoned cancels resumable requests whose callers did not return.
func (s *Service) cancelAbandoned(now time.Time) {
	for _, journal := range s.journals.Running() {
		if journal.Abandoned(now) {
			journal.cancel(&CallerGoneError{})
		}
	}
}

// Router returns the router, which callers update with cache events.
func (s *Service) Router() *route.Router { return s.router }

// Journal returns the journal of a request that this daemon holds, or nil if
// there is none.
func (s *Service) Journal(id string) *Journal { return s.journals.Get(id) }

// InFlight returns the number of requests in flight.
func (s *Service) InFlight() int { return int(s.inFlight.Load()) }

// Drain makes the service refuse new requests. Running requests continue.
func (s *Service) Drain() { s.draining.Store(true) }

// OverloadPeer returns the base URL of a peer that should receive a new request
// because this daemon has reached its maximum number of streams. It returns ""
// if this daemon can accept the request or no peer is clearly less loaded.
func (s *Service) OverloadPeer() string {
	if s.options.MaxStreams <= 0 || s.InFlight() < s.options.MaxStreams {
		return ""
	}
	return s.exchange.leastLoadedPeer()
}

// livePeers returns the live peers of the failure domain.
func (s *Service) livePeers() []member.Peer {
	var live []member.Peer
	for _, peer := range s.options.Cluster.Peers() {
		if peer.Status == member.Alive {
			live = append(live, peer)
		}
	}
	return live
}
