package daemon

import (
	"context"
	"time"

	"github.com/boragelead/boragelead/api/endpoint"
	"github.com/boragelead/boragelead/internal/cluster"
	"github.com/boragelead/boragelead/internal/core/member"
	"github.com/boragelead/boragelead/internal/core/route"
	"github.com/boragelead/boragelead/internal/entry"
)

// clusterAdapter implements entry.Cluster on the cluster.
type clusterAdapter struct{ cluster *cluster.Cluster }

// Peers implements entry.Cluster.
func (c clusterAdapter) Peers() []member.Peer { return c.cluster.Node().Peers() }

// Domains implements entry.Cluster.
func (c clusterAdapter) Domains(now time.Time) []member.DomainView {
	return c.cluster.Node().Domains(now)
}

// Fetch implements entry.Cluster.
func (c clusterAdapter) Fetch(ctx context.Context, domain, model, service string) ([]*member.Endpoint, error) {
	return c.cluster.Fetch(ctx, domain, model, service)
}

// SetPayload implements entry.Cluster.
func (c clusterAdapter) SetPayload(kind string, data []byte) error {
	return c.cluster.Node().SetPayload(kind, data)
}

// Payloads implements entry.Cluster.
func (c clusterAdapter) Payloads(kind string) []member.Payload {
	return c.cluster.Node().Payloads(kind)
}

// journalAdapter implements callerhttp.Journals on the request pipeline.
type journalAdapter struct{ service *entry.Service }

// Get implements callerhttp.Journals.
func (j journalAdapter) Get(id string) *entry.Journal { return j.service.Journal(id) }

// Locate implements callerhttp.Journals.
func (j journalAdapter) Locate(ctx context.Context, id string) string {
	return j.service.Locate(ctx, id)
}

// announcementAdapter implements enginehttp.Registrar; it passes the
// announcements of endpoints to the registry.
type announcementAdapter struct{ daemon *Daemon }

// Announce implements enginehttp.Registrar.
func (a announcementAdapter) Announce(announcement endpoint.Announcement, now time.Time) bool {
	return a.daemon.registry.Announce(announcement, now)
}

// Withdraw implements enginehttp.Registrar.
func (a announcementAdapter) Withdraw(w endpoint.Withdrawal) bool {
	return a.daemon.registry.Withdraw(w)
}

// cacheEventAdapter implements enginehttp.CacheReceiver; it passes cache events to the router.
type cacheEventAdapter struct{ router *route.Router }

// CacheEvents implements enginehttp.CacheReceiver. If events were missed, the
// answer to the next announcement asks the endpoint for the complete list.
func (c cacheEventAdapter) CacheEvents(events endpoint.CacheEvents, _ time.Time) {
	c.router.CacheEvents(&events)
}

// WantReset implements enginehttp.CacheReceiver.
func (c cacheEventAdapter) WantReset(id string, incarnation, cacheSeq uint64) bool {
	return c.router.ObserveNewestCacheSeq(id, incarnation, cacheSeq)
}
