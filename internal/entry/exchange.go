package entry

import (
	"encoding/binary"
	"time"

	"go.uber.org/zap"

	"github.com/boragelead/boragelead/internal/core/member"
)

// Kinds of payload that entries of a failure domain exchange.
const (
	payloadLimits  = "limits"
	payloadRoute   = "route"
	payloadSuspect = "suspect"
	payloadLoad    = "load"
	// payloadUsage is followed by the key of a pool.
	payloadUsage = "usage:"
)

const (
	// exchangeBytesPerS bounds what an entry spends on payloads. It is a third
	// of the 9 KB/s that control may take, membership takes the rest.
	exchangeBytesPerS = 3000
	// minExchange is the shortest time between two exchanges.
	minExchange = 500 * time.Millisecond
)

// exchange tells the peers of the failure domain what this entry runs, and
// takes in what they say.
type exchange struct {
	service *Service
	next    time.Time
	// merged holds the arrival of the newest payload merged, by kind and peer.
	merged map[string]time.Time
}

func newExchange(s *Service) *exchange {
	return &exchange{service: s, merged: make(map[string]time.Time)}
}

// step merges what arrived, and publishes when it is due. The interval grows
// with the number of peers, so that the bytes sent stay bounded.
func (e *exchange) step(now time.Time) {
	e.mergeAll(now)
	if now.Before(e.next) {
		return
	}
	bytes := e.publish(now)
	peers := len(e.service.options.Cluster.Peers())
	interval := time.Duration(float64(bytes*peers) / exchangeBytesPerS * float64(time.Second))
	e.next = now.Add(max(interval, minExchange))
}

func (e *exchange) publish(now time.Time) int {
	s := e.service
	sent := e.set(payloadLoad, binary.LittleEndian.AppendUint32(nil, uint32(s.InFlight())), nil)
	data, err := s.pools.shares.Payload()
	sent += e.set(payloadLimits, data, err)
	data, err = s.router.Summary(now)
	sent += e.set(payloadRoute, data, err)
	data, err = s.tracker.Payload(false, now)
	sent += e.set(payloadSuspect, data, err)
	for _, one := range s.pools.list() {
		data, err = one.admitter.Usage(now)
		sent += e.set(payloadUsage+one.key, data, err)
	}
	return sent
}

func (e *exchange) set(kind string, data []byte, err error) int {
	if err == nil {
		err = e.service.options.Cluster.SetPayload(kind, data)
	}
	if err != nil {
		e.service.metrics.exchangeDropped.Inc()
		e.service.log.Debug("Payload for peers not sent.", zap.String("kind", kind), zap.Error(err))
		return 0
	}
	return len(data)
}

func (e *exchange) mergeAll(now time.Time) {
	s := e.service
	e.merge(payloadLimits, func(p member.Payload) error { return s.pools.shares.Merge(p.Daemon, p.Data, now) })
	e.merge(payloadRoute, func(p member.Payload) error { return s.router.MergeSummary(p.Daemon, p.Data, now) })
	e.merge(payloadSuspect, func(p member.Payload) error { return s.tracker.Merge(p.Data, now) })
	for _, one := range s.pools.list() {
		e.merge(payloadUsage+one.key, func(p member.Payload) error { return one.admitter.MergeUsage(p.Daemon, p.Data, now) })
	}
}

func (e *exchange) merge(kind string, apply func(member.Payload) error) {
	for _, payload := range e.service.options.Cluster.Payloads(kind) {
		key := kind + "\x00" + payload.Daemon
		if !payload.At.After(e.merged[key]) {
			continue
		}
		e.merged[key] = payload.At
		if err := apply(payload); err != nil {
			e.service.log.Warn("Payload of a peer not understood.", zap.String("kind", kind), zap.String("peer", payload.Daemon), zap.Error(err))
		}
	}
}

// leastLoaded returns the base URL of the peer with the fewest requests under
// way, or "" where none has clearly fewer than this daemon.
func (e *exchange) leastLoaded() string {
	s := e.service
	loads := make(map[string]int)
	for _, payload := range s.options.Cluster.Payloads(payloadLoad) {
		if len(payload.Data) == 4 {
			loads[payload.Daemon] = int(binary.LittleEndian.Uint32(payload.Data))
		}
	}
	best, bestLoad := "", s.InFlight()/2
	for _, peer := range s.peersOf() {
		load, known := loads[peer.Name]
		if known && load < bestLoad && peer.CallerURL != "" {
			best, bestLoad = peer.CallerURL, load
		}
	}
	return best
}
