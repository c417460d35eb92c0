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
	// maxExchangeBytes bounds what an entry without peers to speak of sends in
	// payloads, in bytes per second. Membership takes more with each peer, about
	// 8.3 of the 9 KB/s of control at 30 peers and 192 endpoints, so that
	// peerBytes less are left per peer, and minExchangeBytes at least.
	maxExchangeBytes = 3000
	peerBytes        = 90
	minExchangeBytes = 300
	// sends is how often membership sends a payload that changed, against loss.
	sends = 2
	// minExchange is the shortest time between two exchanges.
	minExchange = 500 * time.Millisecond
	// maxFresh is the longest interval at which figures that change with each
	// request are of use. In a domain whose size asks for longer ones, the load
	// reports of the endpoints are newer and tell the same.
	maxFresh = 3 * time.Second
)

// noReports is an empty list of reports in msgpack.
var noReports = []byte{0x90}

// exchange tells the peers of the failure domain what this entry runs, and
// takes in what they say.
type exchange struct {
	service *Service
	next    time.Time
	// merged holds the arrival of the newest payload merged, by kind and peer.
	merged map[string]time.Time
	// sharing holds the peers that take part in the division of limits.
	sharing map[string]bool
}

func newExchange(s *Service) *exchange {
	return &exchange{service: s, merged: make(map[string]time.Time), sharing: make(map[string]bool)}
}

// step merges what arrived, and publishes when it is due. The interval grows
// with the number of peers, so that the bytes sent stay bounded.
func (e *exchange) step(now time.Time) {
	e.mergeAll(now)
	if now.Before(e.next) {
		return
	}
	peers := len(e.service.options.Cluster.Peers())
	bytes := e.publishRules(now)
	fresh := e.freshPayloads(now)
	interval := exchangeInterval(bytes+sizeOf(fresh), peers)
	if interval > maxFresh {
		fresh = emptied(fresh)
		interval = exchangeInterval(bytes, peers)
	}
	for _, one := range fresh {
		e.set(one.kind, one.data, nil)
	}
	e.next = now.Add(interval)
}

// exchangeInterval returns the time between two exchanges of so many bytes.
func exchangeInterval(bytes, peers int) time.Duration {
	budget := max(maxExchangeBytes-peerBytes*peers, minExchangeBytes)
	interval := time.Duration(float64(bytes*peers*sends) / float64(budget) * float64(time.Second))
	return max(interval, minExchange)
}

// publishRules publishes what must reach the peers at any size, and returns its bytes.
func (e *exchange) publishRules(now time.Time) int {
	s := e.service
	data, err := s.pools.shares.Payload()
	sent := e.set(payloadLimits, data, err)
	data, err = s.tracker.Payload(false, now)
	return sent + e.set(payloadSuspect, data, err)
}

// freshPayload is a payload that is only of use while it is new.
type freshPayload struct {
	kind string
	data []byte
}

func (e *exchange) freshPayloads(now time.Time) []freshPayload {
	s := e.service
	list := []freshPayload{{payloadLoad, binary.LittleEndian.AppendUint32(nil, uint32(s.InFlight()))}}
	if data, err := s.router.Summary(now); err == nil {
		list = append(list, freshPayload{payloadRoute, data})
	}
	for _, one := range s.pools.list() {
		if data, err := one.admitter.Usage(now); err == nil {
			list = append(list, freshPayload{payloadUsage + one.key, data})
		}
	}
	return list
}

func sizeOf(list []freshPayload) int {
	bytes := 0
	for _, one := range list {
		bytes += len(one.data)
	}
	return bytes
}

// emptied keeps the kinds, so that peers drop what they had, without data.
func emptied(list []freshPayload) []freshPayload {
	for i := range list {
		list[i].data = nil
	}
	return list
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
	e.returnShares(now)
	e.merge(payloadLimits, func(p member.Payload) error { return s.pools.shares.Merge(p.Daemon, p.Data, now) })
	e.merge(payloadRoute, func(p member.Payload) error { return s.router.MergeSummary(p.Daemon, p.Data, now) })
	e.merge(payloadSuspect, func(p member.Payload) error { return s.tracker.Merge(p.Data, now) })
	for _, one := range s.pools.list() {
		e.merge(payloadUsage+one.key, func(p member.Payload) error { return one.admitter.MergeUsage(p.Daemon, p.Data, now) })
	}
}

// returnShares takes the demand of peers that are gone out of the division of
// limits; their floor returns with the lease.
func (e *exchange) returnShares(now time.Time) {
	alive := make(map[string]bool)
	for _, peer := range e.service.peersOf() {
		alive[peer.Name] = true
	}
	for name := range e.sharing {
		if alive[name] {
			continue
		}
		delete(e.sharing, name)
		if err := e.service.pools.shares.Merge(name, noReports, now); err != nil {
			e.service.log.Warn("Shares of a peer not returned.", zap.String("peer", name), zap.Error(err))
		}
	}
	for name := range alive {
		e.sharing[name] = true
	}
}

func (e *exchange) merge(kind string, apply func(member.Payload) error) {
	for _, payload := range e.service.options.Cluster.Payloads(kind) {
		key := kind + "\x00" + payload.Daemon
		if !payload.At.After(e.merged[key]) {
			continue
		}
		e.merged[key] = payload.At
		if len(payload.Data) == 0 {
			continue
		}
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
