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

// build makes the parts of the daemon, from the network inwards.
func (d *Daemon) build(options Options) error {
	var err error
	d.engines = enginehttp.NewClient(enginehttp.WithHeaders(telemetry.Inject))
	d.services = servicehttp.NewClient(httpconn.Options{}, servicehttp.WithHeaders(telemetry.Inject))
	d.explainer = telemetry.NewExplainer(explainRecords)
	if d.tracing, err = telemetry.NewTracing(d.settings.Trace, d.settings.Name, d.settings.FailureDomain); err != nil {
		return err
	}
	if err := d.buildTLS(); err != nil {
		return err
	}
	server, client, err := tlsconfig.ForPeers(d.settings.TLS, d.log)
	if err != nil {
		return eris.Wrap(err, "TLS between daemons")
	}
	d.rpc = peerrpc.New(peerrpc.Options{ServerTLS: server, ClientTLS: client})
	if d.ledger, err = d.newLedgerRole(); err != nil {
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

// buildTLS reads the certificates towards callers and operators.
func (d *Daemon) buildTLS() error {
	var err error
	if d.callerTLS, err = tlsconfig.ForCallers(d.settings.TLS, d.log); err != nil {
		return eris.Wrap(err, "TLS towards callers")
	}
	if d.adminTLS, err = tlsconfig.ForAdmin(d.settings.TLS, d.log); err != nil {
		return eris.Wrap(err, "TLS towards operators")
	}
	if d.settings.TLS != nil && d.settings.TLS.Callers {
		if d.forwardTLS, err = tlsconfig.ForOperator(tlsconfig.Files{CA: d.settings.TLS.CAFile}); err != nil {
			return eris.Wrap(err, "TLS of forwarded requests")
		}
		// Peers are reached by IP number; their certificates carry this name.
		d.forwardTLS.ServerName = tlsconfig.DaemonName
	}
	return nil
}

// peerKeys reads the keys of membership datagrams, nil where there are none.
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
	return eris.Wrap(err, "join the other daemons")
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
		Cluster:       peers{d.cluster},
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
		Journals:     journals{d.entry},
		NewID:        d.entry.NewID,
		Peers:        d.forwardTransport(),
		OverloadPeer: d.entry.OverloadPeer,
		Ready:        d.ready,
	})
	return d.traced(server.Handler())
}

// forwardTransport carries requests that are passed on to peers.
func (d *Daemon) forwardTransport() *http.Transport {
	transport := httpconn.NewTransport(httpconn.Options{})
	transport.TLSClientConfig = d.forwardTLS
	return transport
}

// traced starts the span of a request, continuing the trace of the caller.
func (d *Daemon) traced(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, span := d.tracing.Start(telemetry.Extract(r.Context(), r.Header), telemetry.HopCaller)
		defer span.End()
		span.Text("http.method", r.Method)
		span.Text("http.path", r.URL.Path)
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

func (d *Daemon) endpointHandler() http.Handler {
	return enginehttp.AnnounceHandler(registrar{d}, cacheReceiver{d.entry.Router()}, d.cluster.EndpointURLs)
}

// logged is a helper for goroutines whose errors only matter to the log.
func (d *Daemon) logged(what string, err error) {
	if err != nil {
		d.log.Warn(what, zap.Error(err))
	}
}
