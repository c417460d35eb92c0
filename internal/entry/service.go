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
)

const (
	// upkeepInterval is the step of capacity, breakers and deadlines.
	upkeepInterval = 100 * time.Millisecond
	// slowUpkeep is the interval of work that only frees memory.
	slowUpkeep = 5 * time.Second
)

// Service answers requests.
type Service struct {
	options   Options
	log       *zap.Logger
	metrics   *serviceMetrics
	router    *route.Router
	lengths   *route.Lengths
	directory *directory
	pools     *pools
	budget    *retry.Budget
	tracker   *suspect.Tracker
	running   *suspect.Running
	journals  *Journals
	exchange  *exchange

	ctx      context.Context
	cancel   context.CancelFunc
	group    sync.WaitGroup
	inFlight atomic.Int64
	draining atomic.Bool
	// ownerIncarnation counts how often this daemon was declared dead.
	ownerIncarnation atomic.Uint64
	// isolated counts endpoints reserved for suspect requests.
	isolated atomic.Int64
	// serviceTurn takes the endpoints of plain services in turn.
	serviceTurn atomic.Uint32
	// generation is the configuration that all decisions work by. It is stored
	// last, under configuring.
	generation  atomic.Uint64
	configuring sync.Mutex
}

// New returns a service. Start begins its upkeep.
func New(options Options) *Service {
	ctx, cancel := context.WithCancel(context.Background())
	empty := &conf.Document{}
	s := &Service{
		options:  options,
		log:      options.Log.Named("[entry]"),
		metrics:  newServiceMetrics(options.Metrics),
		router:   route.New(),
		lengths:  route.NewLengths(),
		budget:   retry.NewBudget(empty.Retry),
		tracker:  suspect.NewTracker(empty.Retry),
		running:  suspect.NewRunning(),
		journals: NewJournals(),
		ctx:      ctx,
		cancel:   cancel,
	}
	s.directory = newDirectory(s)
	s.pools = newPools(s)
	s.exchange = newExchange(s)
	return s
}

// Start begins the upkeep.
func (s *Service) Start() {
	s.configure()
	s.group.Go(func() { s.every(upkeepInterval, s.upkeep) })
	s.group.Go(func() { s.every(slowUpkeep, s.expire) })
	s.group.Go(func() { s.directory.fetchLoop(s.ctx) })
}

// Close stops the upkeep. Requests that still run are cancelled.
func (s *Service) Close() {
	s.cancel()
	s.group.Wait()
}

func (s *Service) every(interval time.Duration, step func(now time.Time)) {
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

// configure passes a new generation to the decisions and returns it. A request
// that arrives meanwhile waits until all of them work by it.
func (s *Service) configure() *conf.Active {
	active := s.options.Config.Current()
	if active == nil || s.generation.Load() == active.Generation {
		return active
	}
	s.configuring.Lock()
	defer s.configuring.Unlock()
	active = s.options.Config.Current()
	if s.generation.Load() == active.Generation {
		return active
	}
	s.router.Configure(active.Document)
	s.budget.Configure(active.Document.Retry)
	s.tracker.Configure(active.Document.Retry)
	s.pools.configure(active.Document)
	s.directory.invalidate()
	s.generation.Store(active.Generation)
	return active
}

func (s *Service) upkeep(now time.Time) {
	if s.configure() == nil {
		return
	}
	s.directory.refresh(now)
	s.pools.upkeep(now)
	s.exchange.step(now)
}

func (s *Service) expire(now time.Time) {
	s.journals.Expire(now)
	s.tracker.Expire(now)
	s.abandon(now)
}

// abandon ends resumable requests whose callers did not come back.
func (s *Service) abandon(now time.Time) {
	for _, journal := range s.journals.Running() {
		if journal.Abandoned(now) {
			journal.cancel(&CallerGoneError{})
		}
	}
}

// Router returns the router, which learns from cache events.
func (s *Service) Router() *route.Router { return s.router }

// Journal returns the journal of a request that this daemon holds, or nil.
func (s *Service) Journal(id string) *Journal { return s.journals.Get(id) }

// InFlight returns the number of requests under way.
func (s *Service) InFlight() int { return int(s.inFlight.Load()) }

// Drain makes the service refuse new requests. Running ones go on.
func (s *Service) Drain() { s.draining.Store(true) }

// OverloadPeer returns the base URL of a peer that takes a new request because
// this daemon is near its limit of streams, or "".
func (s *Service) OverloadPeer() string {
	if s.options.MaxStreams <= 0 || s.InFlight() < s.options.MaxStreams {
		return ""
	}
	return s.exchange.leastLoaded()
}

// peersOf returns the live peers of the failure domain.
func (s *Service) peersOf() []member.Peer {
	var live []member.Peer
	for _, peer := range s.options.Cluster.Peers() {
		if peer.Status == member.Alive {
			live = append(live, peer)
		}
	}
	return live
}
