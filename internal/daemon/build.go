package daemon

import (
	"net/http"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/boragelead/boragelead/internal/adapter/callerhttp"
	"github.com/boragelead/boragelead/internal/adapter/enginehttp"
	"github.com/boragelead/boragelead/internal/adapter/gossipudp"
	"github.com/boragelead/boragelead/internal/adapter/httpconn"
	"github.com/boragelead/boragelead/internal/adapter/peerrpc"
	"github.com/boragelead/boragelead/internal/adapter/servicehttp"
	"github.com/boragelead/boragelead/internal/cluster"
	"github.com/boragelead/boragelead/internal/core/member"
	"github.com/boragelead/boragelead/internal/entry"
	"github.com/boragelead/boragelead/internal/port"
	"github.com/boragelead/boragelead/internal/telemetry"
	"github.com/boragelead/boragelead/internal/tlsconfig"
)

// build creates the components of the daemon. Network clients come first,
// because the components that follow use them.
func (d *Daemon) build(options Options) error {
	var err error
	d.engines = enginehttp.NewClient(enginehttp.WithHeaderTimeout(entry.MaxSilence), enginehttp.WithHeaders(telemetry.Inject))
	d.services = servicehttp.NewClient(httpconn.Options{}, servicehttp.WithHeaders(telemetry.Inject))
	d.explainer = telemetry.NewExplainer(maxExplainRecords)
	if d.tracing, err = telemetry.NewTracing(d.settings.Trace, d.settings.Name, d.settings.FailureDomain); err != nil {
		return err
	}
	if err := d.buildTLS(); err != nil {
		return err
	}
	server, client, err := tlsconfig.ForPeers(d.settings.TLS, d.log)
	if err != nil {
		return eris.Wrap(err, "load TLS configuration for peers")
	}
	d.rpc = peerrpc.New(peerrpc.Options{ServerTLS: server, ClientTLS: client})
	if d.ledger, err = d.newLedgerAccess(); err != nil {
		return err
	}
	if err := d.buildCluster(); err != nil {
		return err
	}
	d.entry = entry.New(d.entryOptions(options))
	d.entry.Register(d.rpc)
	d.rpc.Handle(methodExplain, d.explain)
	return nil
}

// buildTLS loads the TLS configurations of the caller and operator interfaces
// and of requests that are forwarded to peers.
func (d *Daemon) buildTLS() error {
	var err error
	if d.callerTLS, err = tlsconfig.ForCallers(d.settings.TLS, d.log); err != nil {
		return eris.Wrap(err, "load TLS configuration for callers")
	}
	if d.adminTLS, err = tlsconfig.ForAdmin(d.settings.TLS, d.log); err != nil {
		return eris.Wrap(err, "load TLS configuration for operators")
	}
	if d.settings.TLS != nil && d.settings.TLS.Callers {
		if d.forwardTLS, err = tlsconfig.ForOperator(tlsconfig.Files{CA: d.settings.TLS.CAFile}); err != nil {
			return eris.Wrap(err, "load TLS configuration for forwarded requests")
		}
		// Peers are addressed by IP address, but their certificates carry this name.
		d.forwardTLS.ServerName = tlsconfig.DaemonName
	}
	return nil
}

// peerKeys loads the keys that authenticate membership datagrams. It returns
// nil if no key file is set.
func (d *Daemon) peerKeys() (*gossipudp.Keys, error) {
	if d.settings.PeerKeyFile == "" {
		return nil, nil
	}
	return gossipudp.LoadKeys(d.settings.PeerKeyFile)
}

func (d *Daemon) buildCluster() error {
	keys, err := d.peerKeys()
	if err != nil {
		return err
	}
	d.cluster, err = cluster.New(cluster.Options{
		Self: member.Identity{
			Name:        d.settings.Name,
			Instance:    d.instance,
			Domain:      d.settings.FailureDomain,
			Region:      d.settings.Region,
			Address:     d.PeerAddress(),
			EndpointURL: "http://" + d.EndpointAddress(),
			CallerURL:   d.callerScheme() + d.CallerAddress(),
		},
		Seeds:         d.seeds(),
		StateReplicas: d.ledger.addresses(),
		Registry:      d.registry,
		RPC:           d.rpc,
		Keys:          keys,
		Install:       func(g port.Generation) error { return d.install(g.Number, g.Document, g.Digest) },
		Source:        d.ledger.source(),
		IsLeader:      d.ledger.isLeader,
		SourceAge:     d.ledger.sourceAge(),
		Log:           d.log,
	})
	return eris.Wrap(err, "create cluster membership")
}

func (d *Daemon) callerScheme() string {
	if d.settings.TLS != nil && d.settings.TLS.Callers {
		return "https://"
	}
	return "http://"
}

func (d *Daemon) seeds() []string {
	seeds := make([]string, 0, len(d.settings.Peers))
	for _, peer := range d.settings.Peers {
		if peer.Address != d.PeerAddress() {
			seeds = append(seeds, peer.Address)
		}
	}
	return seeds
}

func (d *Daemon) entryOptions(options Options) entry.Options {
	return entry.Options{
		Name:          d.settings.Name,
		Instance:      d.instance,
		FailureDomain: d.settings.FailureDomain,
		Config:        d.config,
		Registry:      d.registry,
		Cluster:       clusterAdapter{d.cluster},
		Peers:         d.rpc,
		Engine:        d.engines,
		Services:      d.services,
		Ledger:        d.ledger.client,
		Explainer:     d.explainer,
		Tracing:       d.tracing,
		Metrics:       d.metrics,
		Log:           d.log,
		MaxStreams:    d.settings.Limits.MaxStreams,
		Baseline:      options.Baseline,
	}
}

func (d *Daemon) callerHandler() http.Handler {
	server := callerhttp.New(callerhttp.Options{
		Name:         d.settings.Name,
		Config:       d.config,
		Completer:    d.entry,
		Services:     d.entry,
		Journals:     journalAdapter{d.entry},
		NewID:        d.entry.NewID,
		Peers:        d.forwardTransport(),
		OverloadPeer: d.entry.OverloadPeer,
		Ready:        d.ready,
	})
	return d.withTracing(server.Handler())
}

// forwardTransport returns the transport for requests that are forwarded to peers.
func (d *Daemon) forwardTransport() *http.Transport {
	transport := httpconn.NewTransport(httpconn.Options{})
	transport.TLSClientConfig = d.forwardTLS
	return transport
}

// withTracing starts a span for each request. The span continues the caller's
// trace if the request carries one.
func (d *Daemon) withTracing(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, span := d.tracing.Start(telemetry.Extract(r.Context(), r.Header), telemetry.HopCaller)
		defer span.End()
		span.Text("http.method", r.Method)
		span.Text("http.path", r.URL.Path)
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

func (d *Daemon) endpointHandler() http.Handler {
	return enginehttp.AnnounceHandler(announcementAdapter{d}, cacheEventAdapter{d.entry.Router()}, d.cluster.EndpointURLs)
}

// warnOnError logs an error that needs no handling; nil is ignored.
func (d *Daemon) warnOnError(message string, err error) {
	if err != nil {
		d.log.Warn(message, zap.Error(err))
	}
}
