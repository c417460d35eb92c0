package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/boragelead/boragelead/internal/gateway/link"
	"github.com/boragelead/boragelead/internal/gateway/registry"
	"github.com/boragelead/boragelead/internal/port"
)

const (
	// departureDelay spreads the reports of entries to which an endpoint says that it
	// leaves at about the same time. Most of them hear of it from a replica before their
	// report is due.
	departureDelay = 300 * time.Millisecond
	// departureTimeout limits one report to one replica, and departureRetryPause is the
	// pause after a report that no replica acknowledged.
	departureTimeout    = time.Second
	departureRetryPause = 300 * time.Millisecond
	// departureRepeat is how long replicas may list an endpoint as ready after a report,
	// before it is reported again because they have lost the report.
	departureRepeat = 2 * time.Second
	// maxReportedDepartures limits the endpoints of one report.
	maxReportedDepartures = 64
)

// departures holds the endpoints that said in an answer to this entry that they leave,
// and reports them to the state replicas, so that the other entries learn of them.
type departures struct {
	entry *Entry
	wake  chan struct{}

	mu    sync.Mutex
	known registry.Departures
	// reports holds, by ID, the endpoints that replicas list as ready.
	reports map[string]*departureReport
}

// departureReport is a report that is due at a time.
type departureReport struct {
	endpoint registry.Endpoint
	dueAt    time.Time
}

func newDepartures(e *Entry) *departures {
	return &departures{entry: e, wake: make(chan struct{}, 1), known: make(registry.Departures), reports: make(map[string]*departureReport)}
}

// observe records whether an answer of an endpoint says that it leaves.
func (d *departures) observe(endpoint *registry.Endpoint, meta *port.AnswerMeta, now time.Time) {
	if !meta.Leaving {
		return
	}
	leaving := *endpoint
	leaving.State = registry.Draining
	d.mu.Lock()
	first := d.known.Note(endpoint, now)
	if first {
		// The lock is held so that no update of the board comes between.
		d.entry.board.RecordDraining(endpoint.ID, endpoint.Born)
		d.schedule(leaving, now)
	}
	d.mu.Unlock()
	if !first {
		return
	}
	d.entry.metrics.departures.Inc()
	d.entry.log.Info("Endpoint leaves, as its answer says.", zap.String("endpoint", endpoint.ID), zap.String("service", endpoint.Service),
		zap.Int64("born", endpoint.Born), zap.String("request", meta.AttemptID))
	d.entry.migrations.moveFromDraining([]registry.Endpoint{leaving})
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// schedule schedules the report of an endpoint. The caller must hold mu.
func (d *departures) schedule(e registry.Endpoint, now time.Time) {
	delay := time.Duration(rand.Float64() * float64(departureDelay))
	d.reports[e.ID] = &departureReport{endpoint: e, dueAt: now.Add(delay)}
}

// updateBoard gives the board the endpoints that the replicas list, those that leave
// marked as draining. It returns the addresses that are no longer used.
func (d *departures) updateBoard(list []registry.Endpoint, now time.Time) (unused []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	ready := d.known.Apply(list, now)
	scheduled := d.reports
	d.reports = make(map[string]*departureReport, len(ready))
	for _, e := range ready {
		if report := scheduled[e.ID]; report != nil && report.endpoint.Born == e.Born {
			d.reports[e.ID] = report
			continue
		}
		d.schedule(e, now)
	}
	return d.entry.board.Update(list)
}

// loop sends reports until the entry is closed.
func (d *departures) loop() {
	for d.entry.ctx.Err() == nil {
		due, next := d.due(time.Now())
		if len(due) > 0 {
			d.report(due)
			continue
		}
		select {
		case <-d.wake:
		case <-time.After(next):
		case <-d.entry.ctx.Done():
		}
	}
}

// due returns the endpoints whose reports are due, and otherwise the time until the next
// one may be.
func (d *departures) due(now time.Time) (due []registry.Endpoint, next time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	next = departureRepeat
	for _, report := range d.reports {
		wait := report.dueAt.Sub(now)
		if wait > 0 {
			next = min(next, wait)
		} else if len(due) < maxReportedDepartures {
			due = append(due, report.endpoint)
		}
	}
	return due, next
}

// report reports endpoints to one replica after the other until one acknowledges that a
// majority has stored the report.
func (d *departures) report(due []registry.Endpoint) {
	e := d.entry
	pause := departureRetryPause
	for _, address := range e.replicaClient.preferredReplicas() {
		err := d.send(address, due)
		if e.ctx.Err() != nil {
			return
		}
		if err == nil {
			pause = departureRepeat
			break
		}
		e.log.Warn("Leaving endpoints not reported.", zap.String("replica", address), zap.Int("endpoints", len(due)), zap.Error(err))
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range due {
		if report := d.reports[due[i].ID]; report != nil {
			report.dueAt = time.Now().Add(pause)
		}
	}
}

func (d *departures) send(address string, due []registry.Endpoint) error {
	params, err := link.Encode(&link.DepartureRequest{Entry: d.entry.options.Settings.Name, Endpoints: due})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(d.entry.ctx, departureTimeout)
	defer cancel()
	_, err = d.entry.options.Caller.Call(ctx, address, link.MethodDeparture, params)
	return err
}
