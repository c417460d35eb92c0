package entry

import (
	"github.com/boragelead/boragelead/internal/gateway/waiting"
	"github.com/boragelead/boragelead/internal/telemetry"
)

// metrics holds the metrics of an entry. Latencies are in seconds.
type metrics struct {
	requests, answered, refused, failed, callersGone    *telemetry.Counter
	attempts, retries, resumed, answerLost              *telemetry.Counter
	moves, movesFailed, endsUnproven                    *telemetry.Counter
	pollBytes, pollsFailed, documentBytes               *telemetry.Counter
	takeUpsUnknown, departures, backoffs, backoffsEnded *telemetry.Counter
	panics, reachChecks, repeatsDenied                  *telemetry.Counter
	silencesKept, silencesReplaced                      *telemetry.Counter
	promptsShared, promptsUnshared, promptsLearned      *telemetry.Counter
	forwards, forwardsFailed                            *telemetry.Counter
	forwarded, forwardedFailed                          *telemetry.Counter
	firstByte, total, waited                            *telemetry.Latency
	waiting, schedulingDelay                            *telemetry.Gauge
	inFlight, servicesCutOff, bodyBytes                 *telemetry.Gauge
	quotaRefunded                                       *telemetry.Counter
	rolloutExposed, rolloutFailed                       *telemetry.Counter
	registry                                            *telemetry.Registry
}

// countReason counts a refusal by its reason. The set of reasons is fixed, so that
// the number of metrics is bounded.
func (m *metrics) countReason(r Reason) { m.registry.Counter("gateway_reason_" + string(r)).Inc() }

// countQuota counts what was charged to a quota, in its units, by the part that covered it.
func (m *metrics) countQuota(source quotaSource, cost float64) {
	m.registry.Counter("gateway_quota_granted_" + string(source)).Add(int64(cost))
}

// countWaitRefusal counts the refusal of a request that does not wait, or no longer. The set of
// reasons is fixed.
func (m *metrics) countWaitRefusal(r waiting.Reason) {
	m.registry.Counter("gateway_wait_refused_" + string(r)).Inc()
}

func newMetrics(r *telemetry.Registry) *metrics {
	return &metrics{
		requests: r.Counter("gateway_requests"), answered: r.Counter("gateway_answered"),
		refused: r.Counter("gateway_refused"), failed: r.Counter("gateway_failed"), callersGone: r.Counter("gateway_callers_gone"),
		attempts: r.Counter("gateway_attempts"), retries: r.Counter("gateway_repeats"),
		resumed: r.Counter("gateway_resumed"), answerLost: r.Counter("gateway_answers_lost"),
		moves: r.Counter("gateway_moves"), movesFailed: r.Counter("gateway_moves_failed"), endsUnproven: r.Counter("gateway_ends_unproven"),
		pollBytes: r.Counter("gateway_poll_bytes"), pollsFailed: r.Counter("gateway_polls_failed"), documentBytes: r.Counter("gateway_document_bytes"),
		takeUpsUnknown: r.Counter("gateway_take_ups_unknown"), departures: r.Counter("gateway_departures"),
		backoffs: r.Counter("gateway_backoffs"), backoffsEnded: r.Counter("gateway_backoffs_ended"),
		repeatsDenied: r.Counter("gateway_repeats_denied"),
		silencesKept:  r.Counter("gateway_silences_kept"), silencesReplaced: r.Counter("gateway_silences_replaced"),
		promptsShared: r.Counter("gateway_long_prompts_shared"), promptsUnshared: r.Counter("gateway_long_prompts_unshared"),
		promptsLearned: r.Counter("gateway_long_prompts_learned"),
		panics:         r.Counter("gateway_panics"), reachChecks: r.Counter("gateway_reach_checks"),
		forwards: r.Counter("gateway_forwards"), forwardsFailed: r.Counter("gateway_forwards_failed"),
		forwarded: r.Counter("gateway_forwarded"), forwardedFailed: r.Counter("gateway_forwarded_failed"),
		servicesCutOff: r.Gauge("gateway_services_cut_off"), bodyBytes: r.Gauge("gateway_body_bytes"),
		waiting: r.Gauge("gateway_waiting"), waited: r.Latency("gateway_waited"), schedulingDelay: r.Gauge("gateway_scheduling_delay_us"),
		firstByte: r.Latency("gateway_first_byte"), total: r.Latency("gateway_total"),
		rolloutExposed: r.Counter("gateway_rollout_exposed"), rolloutFailed: r.Counter("gateway_rollout_failed"),
		quotaRefunded: r.Counter("gateway_quota_refunded"),
		inFlight:      r.Gauge("gateway_in_flight"), registry: r,
	}
}
