package entry

import "github.com/boragelead/boragelead/internal/telemetry"

// serviceMetrics are the metrics of the request path.
type serviceMetrics struct {
	requests, finished, refused, callerGone     *telemetry.Counter
	attempts, retries, resumptions, silent      *telemetry.Counter
	crashes, quarantined, handedOver, takenOver *telemetry.Counter
	tokens, recomputed, exchangeDropped         *telemetry.Counter
	serviceCalls, serviceReplays                *telemetry.Counter
	queueWait, firstToken, betweenTokens        *telemetry.Latency
	claim, decision                             *telemetry.Latency
}

func newServiceMetrics(r *telemetry.Registry) *serviceMetrics {
	return &serviceMetrics{
		requests:        r.Counter("requests"),
		finished:        r.Counter("requests_finished"),
		refused:         r.Counter("requests_refused"),
		callerGone:      r.Counter("requests_caller_gone"),
		attempts:        r.Counter("attempts"),
		retries:         r.Counter("attempts_retried"),
		resumptions:     r.Counter("attempts_resumed"),
		silent:          r.Counter("streams_silent"),
		crashes:         r.Counter("endpoint_crashes"),
		quarantined:     r.Counter("requests_quarantined"),
		handedOver:      r.Counter("requests_handed_over"),
		takenOver:       r.Counter("requests_taken_over"),
		tokens:          r.Counter("tokens_generated"),
		recomputed:      r.Counter("tokens_recomputed"),
		exchangeDropped: r.Counter("exchange_payloads_too_large"),
		serviceCalls:    r.Counter("service_calls"),
		serviceReplays:  r.Counter("service_replays"),
		queueWait:       r.Latency("queue_wait"),
		firstToken:      r.Latency("first_token"),
		betweenTokens:   r.Latency("between_tokens"),
		claim:           r.Latency("claim"),
		decision:        r.Latency("decision"),
	}
}
