package entry

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/boragelead/boragelead/internal/core/limit"
	"github.com/boragelead/boragelead/internal/gateway/demand"
	"github.com/boragelead/boragelead/internal/gateway/pick"
	"github.com/boragelead/boragelead/internal/gateway/ratelimit"
	"github.com/boragelead/boragelead/internal/gateway/registry"
	"github.com/boragelead/boragelead/internal/port"
)

// rateLimits divides the request rates to which endpoints limit all entries. The
// share of an entry follows its part of the demand for the service.
type rateLimits struct {
	entry *Entry
	table *ratelimit.Table

	mu       sync.Mutex
	division demand.Division
	meters   map[string]*demand.Meter
}

func newRateLimits(e *Entry) *rateLimits {
	return &rateLimits{entry: e, table: ratelimit.NewTable(), meters: make(map[string]*demand.Meter)}
}

// observe records the limit that an answer of an endpoint names. Only an answer of
// the endpoint's own program shows that a limit has ended.
func (l *rateLimits) observe(endpoint *registry.Endpoint, meta *port.AnswerMeta, now time.Time) {
	if meta.InvalidRateLimit != "" {
		l.entry.log.Warn("Rate limit of an endpoint cannot be used and is ignored.", zap.String("endpoint", endpoint.ID), zap.String("value", meta.InvalidRateLimit))
		return
	}
	observed := ratelimit.Limit{Named: meta.RateLimit != nil}
	if observed.Named {
		observed.PerS = *meta.RateLimit
	} else if !meta.Sealed {
		return
	}
	if l.table.Observe(endpoint.ID, endpoint.Born, observed, now) {
		l.logChange(endpoint.ID, endpoint.Born, observed, "")
		l.apply(now)
	}
}

// observeBrittle records whether an endpoint fails if it has to reject too many requests.
func (c *call) observeBrittle(choice *pick.Choice, meta *port.AnswerMeta, now time.Time) {
	e := c.entry
	if meta.InvalidBrittle != "" {
		e.log.Warn("Bearable rejections of an endpoint cannot be used and are ignored.", zap.String("endpoint", choice.Endpoint.ID), zap.String("value", meta.InvalidBrittle))
		return
	}
	if choice.RecordBrittle(meta.Brittle, now) {
		e.log.Info("Endpoints of a service are brittle, or no longer.", zap.String("service", choice.Endpoint.Service),
			zap.Float64("rejections_per_s", meta.Brittle), zap.String("endpoint", choice.Endpoint.ID), zap.String("request", meta.AttemptID))
		e.rateLimits.apply(now)
	}
}

// merge applies the limits that a replica received from other entries.
func (l *rateLimits) merge(replica string, reports []ratelimit.Report, now time.Time) {
	for _, report := range l.table.Merge(reports, now) {
		l.logChange(report.Endpoint, report.Born, report.Limit, replica)
	}
}

func (l *rateLimits) logChange(endpoint string, born int64, named ratelimit.Limit, replica string) {
	l.entry.log.Info("Rate limit of an endpoint.", zap.String("endpoint", endpoint), zap.Int64("born", born),
		zap.Bool("named", named.Named), zap.Float64("per_s", named.PerS), zap.String("replica", replica))
}

// countDemand counts a request for a service.
func (l *rateLimits) countDemand(service string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.meters[service]
	if m == nil {
		m = &demand.Meter{}
		l.meters[service] = m
	}
	m.Add(1, now)
}

// demand returns the demand of this entry by service, in requests per second.
func (l *rateLimits) demand(now time.Time) map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make(map[string]float64, len(l.meters))
	for service, m := range l.meters {
		if perS := m.PerS(now); perS > 0 {
			list[service] = perS
		} else {
			delete(l.meters, service)
		}
	}
	return list
}

// setTotal sets the demand of all entries, and the demand of this entry that is
// included in it.
func (l *rateLimits) setTotal(total demand.Total, own map[string]float64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.division.SetTotal(total, own, now)
}

// share returns the part of this entry of the demand for a service.
func (l *rateLimits) share(service string, now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.division.Share(service, now)
}

// apply gives the board this entry's shares of the limits in force.
func (l *rateLimits) apply(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	shares := make(map[string]float64)
	for id, named := range l.table.Limits(now) {
		endpoint, known := l.entry.board.Endpoint(id)
		if known && endpoint.Born == named.Born {
			shares[id] = limit.RateShare(id, named.PerS, l.sharer(endpoint.Service, now))
		}
	}
	l.entry.board.SetRates(shares, now)
	for _, service := range l.entry.board.BrittleServices() {
		l.entry.board.SetSharer(service, l.sharer(service, now))
	}
}

// sharer returns the position of this entry among those that share the endpoints of a
// service. The caller must hold mu.
func (l *rateLimits) sharer(service string, now time.Time) limit.Sharer {
	return limit.Sharer{Rank: l.division.Rank(), Entries: l.division.Entries(), DemandShare: l.division.Share(service, now)}
}
