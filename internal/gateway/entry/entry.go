package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/boragelead/boragelead/internal/adapter/exchange"
	"github.com/boragelead/boragelead/internal/adapter/httpconn"
	"github.com/boragelead/boragelead/internal/bootclock"
	"github.com/boragelead/boragelead/internal/core/retry"
	"github.com/boragelead/boragelead/internal/gateway/meter"
	"github.com/boragelead/boragelead/internal/gateway/peers"
	"github.com/boragelead/boragelead/internal/gateway/pick"
	"github.com/boragelead/boragelead/internal/gateway/quota"
	"github.com/boragelead/boragelead/internal/gateway/rollout"
	"github.com/boragelead/boragelead/internal/gateway/rules"
	"github.com/boragelead/boragelead/internal/gateway/walltime"
	"github.com/boragelead/boragelead/internal/guard"
	"github.com/boragelead/boragelead/internal/inlet"
	"github.com/boragelead/boragelead/internal/port"
	"github.com/boragelead/boragelead/internal/settings"
	"github.com/boragelead/boragelead/internal/telemetry"
)

const (
	// dialTimeout bounds the setup of a connection to an endpoint: within a
	// region it takes milliseconds, so a longer wait means a dead path.
	dialTimeout = 250 * time.Millisecond
	// endpointIdleTimeout closes idle connections to endpoints that announced no
	// idle timeout.
	endpointIdleTimeout = 4 * time.Second
	// peerIdleTimeout closes idle connections to other entries. Those keep them longer.
	peerIdleTimeout = 10 * time.Second
	// retryBudgetShare is the part of the configured retry ratio that entries
	// use. The rest is a margin: entries do not see each other's requests, and
	// their windows differ from those over which the whole deployment is measured.
	retryBudgetShare = 0.7
	// housekeepingInterval is the time between two sweeps of idle connections and
	// expired crash records.
	housekeepingInterval = time.Second
)

// Decoder decodes a document in the format in which operators sent it. The error
// is a *rules.InvalidError.
type Decoder func(data []byte) (*rules.Document, error)

// Options configure an entry.
type Options struct {
	Settings *settings.Gateway
	Dialect  port.Dialect
	Decode   Decoder
	Caller   port.PeerCaller
	Log      *zap.Logger
	Metrics  *telemetry.Registry
	// Inlet bounds the listeners of the process; nil means one for the limits of the settings.
	Inlet *inlet.Inlet
	// Tracing may be nil; no spans are recorded then.
	Tracing *telemetry.Tracing
}

// Entry is the HTTP handler for callers. It is safe for concurrent use.
type Entry struct {
	options       Options
	log           *zap.Logger
	metrics       *metrics
	incarnation   uint64
	board         *pick.Board
	quotas        *quota.Limiter
	counter       *meter.Counter
	clock         *walltime.Clock
	retries       *retry.WindowBudget
	client        *exchange.Client
	peerClient    *exchange.Client
	peers         *peers.Directory
	forwarding    *forwarding
	replicaClient *replicaClient
	crashes       *crashDetector
	reach         *reachability
	probes        *endpointProbes
	migrations    *migrations
	buffers       bufferBudget
	inlet         *inlet.Inlet
	// callers is the listener for callers, which obeys the limits of the document.
	callers     atomic.Pointer[inlet.Listener]
	rateLimits  *rateLimits
	documents   *documents
	longPrompts *longPrompts
	running     *runningCalls
	origins     *streamOrigins
	departures  *departures
	queues      *queues
	load        *ownLoad
	rollouts    *rollout.Table
	startedAt   bootclock.Instant

	active   atomic.Pointer[activeRules]
	draining atomic.Bool
	// refusing is set while new requests are refused, late in a drain.
	refusing atomic.Bool
	// requests is cancelled at the end of a drain; all running requests then end.
	requests       context.Context
	cancelRequests context.CancelFunc

	ctx    context.Context
	cancel context.CancelFunc
	group  sync.WaitGroup
}

// activeRules is the document in force and the time at which this entry received it.
type activeRules struct {
	table      *rules.Table
	generation uint64
	receivedAt time.Time
}

// New returns an entry. It does not serve callers before Start is called.
func New(options Options) *Entry {
	bounds := options.Settings.Bounds
	now := time.Now()
	e := &Entry{
		options: options, log: telemetry.Log(options.Log, telemetry.ComponentEntry), metrics: newMetrics(options.Metrics),
		incarnation: rand.Uint64() | 1,
		board:       pick.NewBoard(rand.Float64),
		quotas: quota.New(quota.Tolerance{
			Window: settings.Seconds(bounds.QuotaWindowS), Overshoot: bounds.QuotaOvershoot, Tokens: bounds.QuotaSlack,
		}, bootclock.Now, now),
		clock:   walltime.New(now, bootclock.Now()),
		counter: meter.NewCounter(settings.Seconds(bounds.UsageWindowS)),
		retries: retry.NewWindowBudget(retry.WindowLimits{
			Window: settings.Seconds(bounds.RetryWindowS), Share: bounds.RetryRatio * retryBudgetShare,
		}, now),
		client: exchange.New(exchange.Options{
			Conn: httpconn.Options{DialTimeout: dialTimeout}, IdleTimeout: endpointIdleTimeout,
		}),
		peerClient: exchange.New(exchange.Options{
			Conn: httpconn.Options{DialTimeout: dialTimeout}, IdleTimeout: peerIdleTimeout,
		}),
		peers: peers.New(options.Settings.FailureDomain, rand.Float64),
		inlet: options.Inlet,
	}
	if e.inlet == nil {
		limits := options.Settings.Limits
		size := inlet.SizeOf(int64(limits.MemoryMB)<<20, limits.FileDescriptors, inlet.ShareWithEndpoints)
		e.inlet = inlet.New(inlet.Options{Size: size, Log: options.Log, Metrics: options.Metrics})
	}
	e.buffers.onFull = e.inlet.CloseStalled
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.requests, e.cancelRequests = context.WithCancel(e.ctx)
	e.replicaClient = newReplicaClient(e)
	e.crashes = newCrashDetector(e)
	e.reach = newReachability(e)
	e.probes = newEndpointProbes(e)
	e.forwarding = newForwarding(e)
	e.migrations = newMigrations(e)
	e.rateLimits = newRateLimits(e)
	e.documents = newDocuments(e)
	e.longPrompts = newLongPrompts(e)
	e.running = newRunningCalls()
	e.origins = newStreamOrigins(e)
	e.departures = newDepartures(e)
	e.queues = newQueues(e)
	e.load = newOwnLoad(e)
	e.rollouts, e.startedAt = rollout.NewTable(options.Settings.Name), bootclock.Now()
	return e
}

// Start starts to poll the state replicas.
func (e *Entry) Start() {
	e.replicaClient.start()
	e.goLoop("housekeeping", e.housekeep)
	e.goLoop("documents", e.documents.loop)
	e.goLoop("stream origins", e.origins.loop)
	e.goLoop("departures", e.departures.loop)
	if e.options.Settings.Placement.ShareLongPrompts {
		e.goLoop("long prompts sent", e.longPrompts.sendLoop)
		e.goLoop("long prompts received", e.longPrompts.receiveLoop)
	}
	e.goLoop("own load", e.load.loop)
}

// goLoop runs a function in the background until the entry is closed. If it panics, it
// runs again.
func (e *Entry) goLoop(name string, loop func()) {
	e.group.Go(func() {
		guard.Loop(e.ctx, loop, func(err error) {
			e.metrics.panics.Inc()
			e.log.Error("Background task failed unexpectedly and runs again.", zap.String("task", name), zap.Error(err))
		})
	})
}

// goTask runs a task in the background. A panic ends the task only.
func (e *Entry) goTask(task func()) {
	e.group.Go(func() {
		if err := guard.Run(task); err != nil {
			e.metrics.panics.Inc()
			e.log.Error("Background task failed unexpectedly.", zap.Error(err))
		}
	})
}

// Close stops the background goroutines, waits for them and closes idle
// connections to endpoints.
func (e *Entry) Close() {
	e.cancel()
	e.group.Wait()
	e.client.Close()
	e.peerClient.Close()
}

// Ready reports whether the entry can serve new requests: it has a document,
// knows at least one endpoint, is not draining, and reaches endpoints or other entries.
func (e *Entry) Ready() bool {
	return !e.draining.Load() && e.active.Load() != nil && e.board.Len() > 0 && !e.reach.isolated()
}

// Drain makes the entry report that it is not ready.
func (e *Entry) Drain() { e.draining.Store(true) }

// runningRequests returns the number of requests of callers and of other entries that run.
func (e *Entry) runningRequests() int64 {
	return e.metrics.inFlight.Value() + e.forwarding.running.Load()
}

// ReadyHandler answers health checks of the load balancer.
func (e *Entry) ReadyHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !e.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

func (e *Entry) housekeep() {
	ticker := time.NewTicker(housekeepingInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			e.client.Sweep(now)
			e.peerClient.Sweep(now)
			e.metrics.bodyBytes.Set(e.inlet.Budget().Used())
			e.crashes.tracker.Expire(now)
			e.logEndedBackoffs(e.board.Expire(now))
			e.probes.expire(now)
			e.rateLimits.table.Expire(now)
			e.rateLimits.apply(now)
		case <-e.ctx.Done():
			return
		}
	}
}

// apply puts a document in force, unless its generation is not newer than that
// of the current one.
func (e *Entry) apply(generation uint64, data []byte, arrival transfer) {
	if current := e.active.Load(); current != nil && current.generation >= generation {
		return
	}
	start := time.Now()
	document, err := e.options.Decode(data)
	if err != nil {
		e.log.Error("Document cannot be decoded and is ignored.", zap.Uint64("generation", generation), zap.Error(err))
		return
	}
	now := time.Now()
	e.quotas.Configure(document.Workspaces, now)
	e.active.Store(&activeRules{table: rules.NewTable(document), generation: generation, receivedAt: now})
	e.limitCallers()
	e.log.Info("Document in force.", zap.Uint64("generation", generation), zap.Uint64("version", document.Version),
		zap.Int("routes", len(document.Routes)), zap.Int("bytes", len(data)), zap.Int64("decode_ms", time.Since(start).Milliseconds()),
		zap.String("replica", arrival.replica), zap.Int("transferred", arrival.bytes), zap.Int64("transfer_ms", arrival.time.Milliseconds()))
}

// limitCallers puts the limits of the document in force for the connections of callers.
func (e *Entry) limitCallers() {
	listener, active := e.callers.Load(), e.active.Load()
	if listener == nil || active == nil {
		return
	}
	limits := active.table.Document.Limits
	listener.SetLimits(inlet.Limits{
		MaxHeaderBytes: limits.MaxHeaderBytes, HeaderTimeout: limits.HeaderTimeout, IdleTimeout: limits.IdleTimeout,
	})
}

// newBody returns the body of a request, which takes its memory from that of the connection.
func (e *Entry) newBody(r *http.Request) inlet.Body {
	if account := inlet.AccountOf(r.Context()); account != nil {
		return inlet.NewBody(account)
	}
	return inlet.NewBody(e.inlet.Budget().NewAccount())
}

// setEntryCount sets the number of entries that share the retry allowance.
func (e *Entry) setEntryCount(count int) {
	e.retries.SetAllowance(e.options.Settings.Bounds.RetryAllowance*retryBudgetShare/float64(max(count, 1)), time.Now())
}
