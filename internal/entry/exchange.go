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
	// maxExchangeBytesPerS limits what an entry with few peers sends in
	// payloads, in bytes per second. Membership traffic grows with the number
	// of peers, to about 8.3 of the allowed 9 KB/s of control traffic at 30
	// peers and 192 endpoints. The limit therefore shrinks by bytesPerPeer for
	// each peer, down to minExchangeBytesPerS.
	maxExchangeBytesPerS = 3000
	bytesPerPeer         = 90
	minExchangeBytesPerS = 300
	// sendsPerPayload is how often membership sends a changed payload, to
	// compensate for packet loss.
	sendsPerPayload = 2
	// minExchangeInterval is the shortest time between two exchanges.
	minExchangeInterval = 500 * time.Millisecond
	// maxVolatileInterval is the longest interval at which values that change
	// with each request are useful. In a failure domain that is so large that
	// it needs longer intervals, the load reports of the endpoints are newer
	// and carry the same information.
	maxVolatileInterval = 3 * time.Second
)

// emptyReports is an empty list of reports in msgpack.
var emptyReports = []byte{0x90}

// exchange publishes the state of this entry to the peers of its failure domain
// and merges the state that they publish.
type exchange struct {
	service     *Service
	nextPublish time.Time
	// mergedAt holds the arrival time of the newest merged payload, by kind and
	// peer.
	mergedAt map[string]time.Time
	// sharingPeers holds the peers that take part in the division of limits.
	sharingPeers map[string]bool
}

func newExchange(s *Service) *exchange {
	return &exchange{service: s, mergedAt: make(map[string]time.Time), sharingPeers: make(map[string]bool)}
}

// step merges the payloads that have arrived and publishes new ones when they
// are due. The interval between two publications grows with the number of
// peers, to limit the bytes sent per second.
func (e *exchange) step(now time.Time) {
	e.mergeAll(now)
	if now.Before(e.nextPublish) {
		return
	}
	peers := len(e.service.options.Cluster.Peers())
	bytes := e.publishRequired(now)
	volatile := e.volatilePayloads(now)
	interval := exchangeInterval(bytes+totalBytes(volatile), peers)
	if interval > maxVolatileInterval {
		volatile = clearData(volatile)
		interval = exchangeInterval(bytes, peers)
	}
	for _, payload := range volatile {
		e.publish(payload.kind, payload.data, nil)
	}
	e.nextPublish = now.Add(interval)
}

// exchangeInterval returns the time between two exchanges of the given number
// of bytes with the given number of peers.
func exchangeInterval(bytes, peers int) time.Duration {
	budget := max(maxExchangeBytesPerS-bytesPerPeer*peers, minExchangeBytesPerS)
	interval := time.Duration(float64(bytes*peers*sendsPerPayload) / float64(budget) * float64(time.Second))
	return max(interval, minExchangeInterval)
}

// publishRequired publishes the payloads that must reach the peers in a failure
// domain of any size, and returns their total size in bytes.
func (e *exchange) publishRequired(now time.Time) int {
	s := e.service
	data, err := s.pools.shares.Payload()
	sent := e.publish(payloadLimits, data, err)
	data, err = s.tracker.Payload(false, now)
	return sent + e.publish(payloadSuspect, data, err)
}

// volatilePayload is a payload that is useful only while it is recent.
type volatilePayload struct {
	kind string
	data []byte
}

func (e *exchange) volatilePayloads(now time.Time) []volatilePayload {
	s := e.service
	list := []volatilePayload{{payloadLoad, binary.LittleEndian.AppendUint32(nil, uint32(s.InFlight()))}}
	if data, err := s.router.Summary(now); err == nil {
		list = append(list, volatilePayload{payloadRoute, data})
	}
	for _, pool := range s.pools.list() {
		if data, err := pool.admitter.Usage(now); err == nil {
			list = append(list, volatilePayload{payloadUsage + pool.key, data})
		}
	}
	return list
}

func totalBytes(list []volatilePayload) int {
	bytes := 0
	for _, payload := range list {
		bytes += len(payload.data)
	}
	return bytes
}

// clearData removes the data and keeps the kinds, so that peers drop the data
// that they received before.
func clearData(list []volatilePayload) []volatilePayload {
	for i := range list {
		list[i].data = nil
	}
	return list
}

func (e *exchange) publish(kind string, data []byte, err error) int {
	if err == nil {
		err = e.service.options.Cluster.SetPayload(kind, data)
	}
	if err != nil {
		e.service.metrics.exchangeDropped.Inc()
		e.service.log.Debug("Payload for the peers could not be published.", zap.String("kind", kind), zap.Error(err))
		return 0
	}
	return len(data)
}

func (e *exchange) mergeAll(now time.Time) {
	s := e.service
	e.removeGonePeers(now)
	e.merge(payloadLimits, func(p member.Payload) error { return s.pools.shares.Merge(p.Daemon, p.Data, now) })
	e.merge(payloadRoute, func(p member.Payload) error { return s.router.MergeSummary(p.Daemon, p.Data, now) })
	e.merge(payloadSuspect, func(p member.Payload) error {
		_, err := s.tracker.Merge(p.Data, now)
		return err
	})
	for _, pool := range s.pools.list() {
		e.merge(payloadUsage+pool.key, func(p member.Payload) error { return pool.admitter.MergeUsage(p.Daemon, p.Data, now) })
	}
}

// removeGonePeers removes the demand of peers that are no longer alive from the
// division of limits. Their floor is released when their lease expires.
func (e *exchange) removeGonePeers(now time.Time) {
	alive := make(map[string]bool)
	for _, peer := range e.service.livePeers() {
		alive[peer.Name] = true
	}
	for name := range e.sharingPeers {
		if alive[name] {
			continue
		}
		delete(e.sharingPeers, name)
		if err := e.service.pools.shares.Merge(name, emptyReports, now); err != nil {
			e.service.log.Warn("Demand of a departed peer could not be removed.", zap.String("peer", name), zap.Error(err))
		}
	}
	for name := range alive {
		e.sharingPeers[name] = true
	}
}

func (e *exchange) merge(kind string, apply func(member.Payload) error) {
	for _, payload := range e.service.options.Cluster.Payloads(kind) {
		key := kind + "\x00" + payload.Daemon
		if !payload.At.After(e.mergedAt[key]) {
			continue
		}
		e.mergedAt[key] = payload.At
		if len(payload.Data) == 0 {
			continue
		}
		if err := apply(payload); err != nil {
			e.service.log.Warn("Payload of a peer could not be merged and was dropped.", zap.String("kind", kind), zap.String("peer", payload.Daemon), zap.Error(err))
		}
	}
}

// leastLoadedPeer returns the base URL of the peer with the fewest requests in
// flight, or "" if no peer has less than half as many as this daemon.
func (e *exchange) leastLoadedPeer() string {
	s := e.service
	loads := make(map[string]int)
	for _, payload := range s.options.Cluster.Payloads(payloadLoad) {
		if len(payload.Data) == 4 {
			loads[payload.Daemon] = int(binary.LittleEndian.Uint32(payload.Data))
		}
	}
	best, bestLoad := "", s.InFlight()/2
	for _, peer := range s.livePeers() {
		load, known := loads[peer.Name]
		if known && load < bestLoad && peer.CallerURL != "" {
			best, bestLoad = peer.CallerURL, load
		}
	}
	return best
}
