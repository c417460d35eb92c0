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

// peers shows the cluster to the request pipeline.
type peers struct{ cluster *cluster.Cluster }

// Peers implements entry.Cluster.
func (p peers) Peers() []member.Peer { return p.cluster.Node().Peers() }

// Domains implements entry.Cluster.
func (p peers) Domains(now time.Time) []member.DomainView { return p.cluster.Node().Domains(now) }

// Fetch implements entry.Cluster.
func (p peers) Fetch(ctx context.Context, domain, model, service string) ([]*member.Endpoint, error) {
	return p.cluster.Fetch(ctx, domain, model, service)
}

// SetPayload implements entry.Cluster.
func (p peers) SetPayload(kind string, data []byte) error {
	return p.cluster.Node().SetPayload(kind, data)
}

// Payloads implements entry.Cluster.
func (p peers) Payloads(kind string) []member.Payload { return p.cluster.Node().Payloads(kind) }

// journals shows the journals to the caller interface.
type journals struct{ service *entry.Service }

// Get implements callerhttp.Journals.
func (j journals) Get(id string) *entry.Journal { return j.service.Journal(id) }

// Locate implements callerhttp.Journals.
func (j journals) Locate(ctx context.Context, id string) string { return j.service.Locate(ctx, id) }

// registrar passes announcements of endpoints to the registry.
type registrar struct{ daemon *Daemon }

// Announce implements enginehttp.Registrar.
func (r registrar) Announce(a endpoint.Announcement, now time.Time) bool {
	return r.daemon.registry.Announce(a, now)
}

// Withdraw implements enginehttp.Registrar.
func (r registrar) Withdraw(w endpoint.Withdrawal) bool { return r.daemon.registry.Withdraw(w) }

// cacheReceiver passes cache events to the router.
type cacheReceiver struct{ router *route.Router }

// CacheEvents implements enginehttp.CacheReceiver. A gap is mended at the next
// announcement, which asks for a complete list.
func (c cacheReceiver) CacheEvents(events endpoint.CacheEvents, _ time.Time) {
	c.router.CacheEvents(&events)
}

// WantReset implements enginehttp.CacheReceiver.
func (c cacheReceiver) WantReset(id string, incarnation, cacheSeq uint64) bool {
	return c.router.CacheMissed(id, incarnation, cacheSeq)
}
