package inlet

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/boragelead/boragelead/internal/telemetry"
)

// Reason is why a connection was closed or a request was refused. The set is fixed.
type Reason string

// Reasons.
const (
	// ReasonNoPlace refuses a connection because all places are taken by running requests.
	ReasonNoPlace Reason = "no_place"
	// ReasonStalled closes a connection without progress in the middle of a request, and
	// ReasonIdle one without a request, for the place of another.
	ReasonStalled Reason = "stalled"
	ReasonIdle    Reason = "idle"
	// ReasonMemory refuses a head or body beyond the budget.
	ReasonMemory Reason = "memory"
	// ReasonHeadSize and ReasonHeadTime refuse a head beyond the limits of the document.
	ReasonHeadSize Reason = "head_size"
	ReasonHeadTime Reason = "head_time"
	// ReasonUnread closes a connection whose client does not read its answer.
	ReasonUnread Reason = "unread"
)

// logInterval is the least time between two lines with the same reason and listener.
const logInterval = 5 * time.Second

// events counts and logs what the limits did. It is safe for concurrent use.
type events struct {
	log     *zap.Logger
	metrics *telemetry.Registry
	mu      sync.Mutex
	lines   map[eventKey]*eventLine
}

type eventKey struct {
	reason   Reason
	listener string
}

type eventLine struct {
	at time.Time
	// unlogged is the number of events since the last line.
	unlogged int
}

func newEvents(log *zap.Logger, metrics *telemetry.Registry) *events {
	if log == nil {
		log = zap.NewNop()
	}
	if metrics == nil {
		metrics = telemetry.NewRegistry()
	}
	return &events{log: log, metrics: metrics, lines: make(map[eventKey]*eventLine)}
}

// observe sets the gauges after a change of the connections of a listener.
func (e *events) observe(l *Listener, connections int) {
	e.metrics.Gauge("inlet_" + l.name + "_connections").Set(int64(connections))
	e.metrics.Gauge("inlet_bytes").Set(l.inlet.budget.Used())
}

// record counts an event, and logs it unless one of its kind was logged shortly before.
func (e *events) record(reason Reason, listener, address string) {
	e.metrics.Counter("inlet_" + listener + "_" + string(reason)).Inc()
	e.mu.Lock()
	defer e.mu.Unlock()
	key := eventKey{reason, listener}
	line := e.lines[key]
	if line == nil {
		line = &eventLine{}
		e.lines[key] = line
	}
	line.unlogged++
	now := time.Now()
	if now.Sub(line.at) < logInterval {
		return
	}
	e.log.Warn("Client refused or disconnected by a limit.", zap.String("reason", string(reason)), zap.String("listener", listener),
		zap.String("client", address), zap.Int("count", line.unlogged))
	line.at, line.unlogged = now, 0
}
