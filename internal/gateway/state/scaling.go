package state

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/boragelead/boragelead/internal/gateway/registry"
	"github.com/boragelead/boragelead/internal/gateway/rules"
	"github.com/boragelead/boragelead/internal/gateway/scale"
	"github.com/boragelead/boragelead/internal/port"
)

// scaleInterval is how often the number of endpoints is planned.
const scaleInterval = 500 * time.Millisecond

// orderEndpoints sends the orders of the planners of all services.
func (h *dutyHolder) orderEndpoints(now time.Time) {
	if now.Before(h.nextPlanAt) {
		return
	}
	h.nextPlanAt = now.Add(scaleInterval)
	table := h.state.currentRules()
	if table == nil {
		return
	}
	live := h.state.registry.Live()
	sum := h.state.entries.totals(now)
	if sum.entries == 0 {
		// The load is unknown while no entry polls.
		return
	}
	for i := range table.Document.Services {
		service := &table.Document.Services[i]
		if service.Scaling == nil {
			continue
		}
		h.orderService(service, live, &scale.Input{
			Now: now, Service: service, Domains: h.state.options.Settings.Domains,
			InFlight: sum.load[service.Name], Work: sum.work[service.Name], LimitTokensPerS: tokenLimits(table.Document.Workspaces),
		})
	}
}

// tokenLimits returns the sum of the rate limits that count tokens, in tokens per
// second.
func tokenLimits(workspaces []rules.Workspace) float64 {
	sum := 0.0
	for i := range workspaces {
		if workspaces[i].CountTokens {
			sum += workspaces[i].RatePerS
		}
	}
	return sum
}

func (h *dutyHolder) orderService(service *rules.Service, live []registry.Endpoint, in *scale.Input) {
	planner := h.planners[service.Name]
	if planner == nil {
		planner = scale.New()
		h.planners[service.Name] = planner
	}
	for i := range live {
		if live[i].Service == service.Name {
			in.Endpoints = append(in.Endpoints, live[i])
		}
	}
	if len(in.Endpoints) == 0 {
		return
	}
	keepsAll := h.state.isRollingOut(service.Name, in.Endpoints)
	for _, order := range planner.Plan(in) {
		if keepsAll && reducesCount(order, in.Endpoints) {
			continue
		}
		if !h.mayAct() {
			return
		}
		h.sendOrder(planner, order, in.InFlight, in.Now)
	}
}

// sendOrder sends one order. An order that failed without being refused may still
// take effect, so it is recorded like an accepted one. The planner repeats it if
// the endpoints do not appear.
func (h *dutyHolder) sendOrder(planner *scale.Planner, order port.CountOrder, inFlight int, now time.Time) {
	s := h.state
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	err := s.options.Duties.OrderCount(ctx, h.fence, order)
	fields := []zap.Field{
		zap.String("service", order.Service), zap.String("failure_domain", order.FailureDomain), zap.Int("count", order.Count),
		zap.Bool("reclaimable", order.Reclaimable), zap.Int("in_flight", inFlight), zap.Uint64("fencing", h.fence.Number),
	}
	var refused *port.FencedError
	if errors.As(err, &refused) {
		planner.RecordRefusal(order, now)
		s.options.Metrics.Counter("state_orders_refused").Inc()
		s.log.Warn("Order of endpoints refused.", append(fields, zap.Error(err))...)
		return
	}
	planner.RecordOrder(order, now)
	if err != nil {
		s.log.Warn("Order of endpoints failed; it may still take effect.", append(fields, zap.Error(err))...)
		return
	}
	s.options.Metrics.Counter("state_orders").Inc()
	s.log.Info("Endpoints ordered.", fields...)
}
