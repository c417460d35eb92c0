package daemon

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/boragelead/boragelead/internal/adapter/callerhttp"
	"github.com/boragelead/boragelead/internal/adapter/enginehttp"
	"github.com/boragelead/boragelead/internal/core/conf"
	"github.com/boragelead/boragelead/internal/core/member"
	"github.com/boragelead/boragelead/internal/core/route"
	"github.com/boragelead/boragelead/internal/entry"
	"github.com/boragelead/boragelead/internal/settings"
)

// expireInterval is how often leases of endpoints are checked.
const expireInterval = 250 * time.Millisecond

// Daemon is a running daemon.
type Daemon struct {
	settings *settings.Settings
	log      *zap.Logger
	config   *conf.Store
	registry *member.Registry
	servers  []*http.Server
	cancel   context.CancelFunc
}

// Start builds a daemon and opens its listeners.
func Start(config *settings.Settings, log *zap.Logger) (*Daemon, error) {
	ctx, cancel := context.WithCancel(context.Background())
	d := &Daemon{settings: config, log: log, config: conf.NewStore(), registry: member.NewRegistry(), cancel: cancel}
	engine := enginehttp.NewClient()
	service := entry.New(candidates{d.registry}, engine)
	callers := callerhttp.New(d.config, service, uuid.NewString)
	announce := enginehttp.AnnounceHandler(d.registry, enginehttp.NoCache{}, func() []string { return nil })
	if err := d.serve(config.Listen.Callers, callers.Handler()); err != nil {
		d.Close()
		return nil, err
	}
	if err := d.serve(config.Listen.Endpoints, announce); err != nil {
		d.Close()
		return nil, err
	}
	go d.expireLoop(ctx)
	return d, nil
}

// Config returns the store of the active generation.
func (d *Daemon) Config() *conf.Store { return d.config }

// Registry returns the registry of endpoints.
func (d *Daemon) Registry() *member.Registry { return d.registry }

// Close stops the daemon at once.
func (d *Daemon) Close() {
	d.cancel()
	for _, server := range d.servers {
		_ = server.Close()
	}
}

func (d *Daemon) serve(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrapf(err, "listen on %s", address)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	d.servers = append(d.servers, server)
	go func() { _ = server.Serve(listener) }()
	return nil
}

func (d *Daemon) expireLoop(ctx context.Context) {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			for _, id := range d.registry.Expire(now) {
				d.log.Named("[member]").Warn("Endpoint lease expired.", zap.String("endpoint", id))
			}
		case <-ctx.Done():
			return
		}
	}
}

// candidates shows the registry to the router.
type candidates struct{ registry *member.Registry }

// Candidates implements entry.Endpoints.
func (c candidates) Candidates(string) []*route.Candidate {
	endpoints := c.registry.List()
	list := make([]*route.Candidate, 0, len(endpoints))
	for _, e := range endpoints {
		list = append(list, &route.Candidate{
			ID: e.ID, Incarnation: e.Incarnation, BaseURL: e.BaseURL, FailureDomain: e.FailureDomain,
			Class: e.Class, Role: e.Role, State: e.State, Models: e.Models, Slots: e.Slots,
			Reclaimable: e.Reclaimable, Load: e.Load, LoadAt: e.LoadAt, Expires: e.Expires,
		})
	}
	return list
}
