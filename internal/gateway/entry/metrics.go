package entry

import "github.com/boragelead/boragelead/internal/telemetry"

// metrics counts what an entry does. Latencies are in seconds.
type metrics struct {
	requests, answered, refused, failed, gone *telemetry.Counter
	attempts, repeats, resumed, lost          *telemetry.Counter
	moves, movesFailed                        *telemetry.Counter
	firstByte, total                          *telemetry.Latency
	inFlight                                  *telemetry.Gauge
	registry                                  *telemetry.Registry
}

// reason counts the gateway's own answers by their reason, a bounded set.
func (m *metrics) reason(r Reason) { m.registry.Counter("gateway_reason_" + string(r)).Inc() }

func newMetrics(r *telemetry.Registry) *metrics {
	return &metrics{
		requests: r.Counter("gateway_requests"), answered: r.Counter("gateway_answered"),
		refused: r.Counter("gateway_refused"), failed: r.Counter("gateway_failed"), gone: r.Counter("gateway_callers_gone"),
		attempts: r.Counter("gateway_attempts"), repeats: r.Counter("gateway_repeats"),
		resumed: r.Counter("gateway_resumed"), lost: r.Counter("gateway_answers_lost"),
		moves: r.Counter("gateway_moves"), movesFailed: r.Counter("gateway_moves_failed"),
		firstByte: r.Latency("gateway_first_byte"), total: r.Latency("gateway_total"),
		inFlight: r.Gauge("gateway_in_flight"), registry: r,
	}
}
