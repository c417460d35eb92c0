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
	"github.com/boragelead/boragelead/internal/gateway/pick"
	"github.com/boragelead/boragelead/internal/gateway/quota"
	"github.com/boragelead/boragelead/internal/gateway/rules"
	"github.com/boragelead/boragelead/internal/gateway/walltime"
	"github.com/boragelead/boragelead/internal/port"
	"github.com/boragelead/boragelead/internal/settings"
	"github.com/boragelead/boragelead/internal/telemetry"
)

const (
	// dialTimeout bounds the setup of a connection to an endpoint: within a
	// region it takes milliseconds, so a longer wait means a dead path.
	dialTimeout = 250 * time.Millisecond
	// endpointIdle closes connections to endpoints that named no timeout.
	endpointIdle = 4 * time.Second
	// repeatShare of the agreed retry ratio is used: entries cannot see each
	// other's requests, and windows of entries and of the deployment differ.
	repeatShare = 0.7
	// housekeeping is how often idle connections and averages are looked after.
	housekeeping = time.Second
)

// Decoder reads a document in the form in which operators sent it. The error
// is a *rules.InvalidError.
type Decoder func(data []byte) (*rules.Document, error)

// Options set up an entry.
type Options struct {
	Settings *settings.Gateway
	Dialect  port.Dialect
	Decode   Decoder
	Caller   port.PeerCaller
	Log      *zap.Logger
	Metrics  *telemetry.Registry
	// Tracing may be nil, which makes no spans.
	Tracing *telemetry.Tracing
}

// Entry serves callers. It is safe for concurrent use.
type Entry struct {
	options     Options
	log         *zap.Logger
	metrics     *metrics
	incarnation uint64
	board       *pick.Board
	quotas      *quota.Keeper
	counter     *meter.Counter
	clock       *walltime.Clock
	repeats     *retry.WindowBudget
	client      *exchange.Client
	links       *links
	crashes     *crashWatch
	migrations  *migrations

	active   atomic.Pointer[activeRules]
	draining atomic.Bool

	ctx    context.Context
	cancel context.CancelFunc
	group  sync.WaitGroup
}

// activeRules is the document in force with the time at which it arrived.
type activeRules struct {
	table      *rules.Table
	generation uint64
	since      time.Time
}

// New returns an entry that serves once Start was called.
func New(options Options) *Entry {
	bounds := options.Settings.Bounds
	now := time.Now()
	e := &Entry{
		options: options, log: telemetry.Log(options.Log, telemetry.PartEntry), metrics: newMetrics(options.Metrics),
		incarnation: rand.Uint64() | 1,
		board:       pick.NewBoard(rand.Float64),
		quotas: quota.New(quota.Tolerance{
			Window: settings.Seconds(bounds.QuotaWindowS), Overshoot: bounds.QuotaOvershoot, Tokens: bounds.QuotaSlack,
		}),
		clock:   walltime.New(now, bootclock.Now()),
		counter: meter.NewCounter(settings.Seconds(bounds.UsageWindowS)),
		repeats: retry.NewWindowBudget(retry.WindowLimits{
			Window: settings.Seconds(bounds.RetryWindowS), Share: bounds.RetryRatio * repeatShare,
		}, now),
		client: exchange.New(exchange.Options{
			Conn: httpconn.Options{DialTimeout: dialTimeout}, IdleTimeout: endpointIdle,
		}),
	}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.links = newLinks(e)
	e.crashes = newCrashWatch(e)
	e.migrations = newMigrations(e)
	return e
}

// Start begins to follow the state replicas.
func (e *Entry) Start() {
	e.links.start()
	e.group.Go(e.housekeep)
}

// Close stops the background work and closes idle connections.
func (e *Entry) Close() {
	e.cancel()
	e.group.Wait()
	e.client.Close()
}

// Ready reports whether new callers may come: the entry knows the rules and an
// endpoint, and does not drain.
func (e *Entry) Ready() bool {
	return !e.draining.Load() && e.active.Load() != nil && e.board.Len() > 0
}

// Drain makes the entry not ready.
func (e *Entry) Drain() { e.draining.Store(true) }

// ReadyHandler answers health checks of the load balancer.
func (e *Entry) ReadyHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !e.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

func (e *Entry) housekeep() {
	ticker := time.NewTicker(housekeeping)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			e.client.Sweep(now)
			e.crashes.tracker.Expire(now)
		case <-e.ctx.Done():
			return
		}
	}
}

// apply puts a document in force. An older generation changes nothing.
func (e *Entry) apply(generation uint64, data []byte) {
	if current := e.active.Load(); current != nil && current.generation >= generation {
		return
	}
	document, err := e.options.Decode(data)
	if err != nil {
		e.log.Error("Document not usable.", zap.Uint64("generation", generation), zap.Error(err))
		return
	}
	now := time.Now()
	e.quotas.Configure(document.Workspaces, now)
	e.active.Store(&activeRules{table: rules.NewTable(document), generation: generation, since: now})
	e.log.Info("Document in force.", zap.Uint64("generation", generation), zap.Uint64("version", document.Version),
		zap.Int("routes", len(document.Routes)))
}

// setEntries takes the number of entries that share the budgets.
func (e *Entry) setEntries(count int) {
	e.repeats.SetAllowance(e.options.Settings.Bounds.RetryAllowance * repeatShare / float64(max(count, 1)))
}
