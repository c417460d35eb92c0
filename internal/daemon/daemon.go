package daemon

import (
	"context"
	"crypto/tls"
	"encoding/binary"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/boragelead/boragelead/internal/adapter/enginehttp"
	"github.com/boragelead/boragelead/internal/adapter/peerrpc"
	"github.com/boragelead/boragelead/internal/adapter/servicehttp"
	"github.com/boragelead/boragelead/internal/cluster"
	"github.com/boragelead/boragelead/internal/core/conf"
	"github.com/boragelead/boragelead/internal/core/member"
	"github.com/boragelead/boragelead/internal/entry"
	"github.com/boragelead/boragelead/internal/port"
	"github.com/boragelead/boragelead/internal/settings"
	"github.com/boragelead/boragelead/internal/telemetry"
)

const (
	// headerTimeout bounds the time in which a caller sends the headers of a request.
	headerTimeout = 10 * time.Second
	// idleTimeout closes connections of callers without requests.
	idleTimeout = 2 * time.Minute
	// explainRecords is the number of requests whose explain records are kept, about 1 KB each.
	explainRecords = 8192
	// closeTimeout bounds the flush of traces at the end.
	closeTimeout = 2 * time.Second
)

// Options change a daemon beyond its settings. The zero value is right for service.
type Options struct {
	// Baseline replaces decisions by simple ones for comparison.
	Baseline entry.Baseline
	// PeerListener replaces the listener of $.listen.peers, so that several
	// daemons of one process know each other's addresses before they start.
	PeerListener net.Listener
}

// Daemon is a running daemon.
type Daemon struct {
	settings  *settings.Settings
	log       *zap.Logger
	config    *conf.Store
	instance  uint64
	registry  *member.Registry
	metrics   *telemetry.Registry
	tracing   *telemetry.Tracing
	explainer *telemetry.Explainer
	rpc       *peerrpc.Node
	cluster   *cluster.Cluster
	ledger    *ledgerRole
	engines   *enginehttp.Client
	services  *servicehttp.Client
	entry     *entry.Service

	callerTLS *tls.Config
	adminTLS  *tls.Config
	// forwardTLS verifies the caller interface of peers.
	forwardTLS *tls.Config
	listeners  listeners
	servers    []*http.Server
	group      sync.WaitGroup
	cancel     context.CancelFunc
	notReady   atomic.Bool
	drained    chan struct{}
	drainOnce  sync.Once
	closeOnce  sync.Once
}

// Start builds a daemon and opens its listeners. The error names the setting
// whose address could not be opened.
func Start(config *settings.Settings, log *zap.Logger, options Options) (*Daemon, error) {
	d := &Daemon{
		settings: config,
		log:      log.With(zap.String("daemon", config.Name)),
		config:   conf.NewStore(),
		instance: newInstance(),
		registry: member.NewRegistry(),
		metrics:  telemetry.NewRegistry(),
		drained:  make(chan struct{}),
	}
	if err := d.listeners.open(config, options.PeerListener); err != nil {
		return nil, err
	}
	if err := d.build(options); err != nil {
		d.Close()
		return nil, err
	}
	d.start()
	return d, nil
}

// newInstance draws the number that tells the lives of a daemon apart.
func newInstance() uint64 {
	id := uuid.New()
	return binary.LittleEndian.Uint64(id[:8])
}

// Name returns the name of the daemon.
func (d *Daemon) Name() string { return d.settings.Name }

// FailureDomain returns the failure domain of the daemon.
func (d *Daemon) FailureDomain() string { return d.settings.FailureDomain }

// Config returns the store of the active generation.
func (d *Daemon) Config() *conf.Store { return d.config }

// Registry returns the registry of endpoints.
func (d *Daemon) Registry() *member.Registry { return d.registry }

// Metrics returns the metrics of the daemon.
func (d *Daemon) Metrics() *telemetry.Registry { return d.metrics }

// Entry returns the request pipeline.
func (d *Daemon) Entry() *entry.Service { return d.entry }

// Cluster returns the connection to the other daemons.
func (d *Daemon) Cluster() *cluster.Cluster { return d.cluster }

// RPC returns the calls between daemons.
func (d *Daemon) RPC() *peerrpc.Node { return d.rpc }

// Ledger returns the access to the replicated state.
func (d *Daemon) Ledger() port.Ledger { return d.ledger.client }

// CallerAddress returns the IP:port for callers.
func (d *Daemon) CallerAddress() string { return d.listeners.callers.Addr().String() }

// EndpointAddress returns the IP:port for endpoints.
func (d *Daemon) EndpointAddress() string { return d.listeners.endpoints.Addr().String() }

// PeerAddress returns the IP:port for daemons.
func (d *Daemon) PeerAddress() string { return d.listeners.peers.Addr().String() }

// AdminAddress returns the IP:port for operators.
func (d *Daemon) AdminAddress() string { return d.listeners.admin.Addr().String() }

// Drained is closed when a graceful shutdown has ended.
func (d *Daemon) Drained() <-chan struct{} { return d.drained }

// ready returns nil while the daemon takes new requests.
func (d *Daemon) ready() error {
	switch {
	case d.notReady.Load():
		return &NotReadyError{Reason: "draining"}
	case d.config.Current() == nil:
		return &NotReadyError{Reason: "no configuration yet"}
	default:
		return nil
	}
}

func (d *Daemon) start() {
	d.group.Go(func() { _ = d.rpc.Serve(d.listeners.peers) })
	d.cluster.Start()
	d.entry.Start()
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	d.group.Go(func() { d.sweepOwners(ctx) })
	d.serve(d.listeners.callers, d.callerHandler(), d.callerTLS)
	d.serve(d.listeners.endpoints, d.endpointHandler(), nil)
	d.serve(d.listeners.admin, d.adminHandler(), d.adminTLS)
	telemetry.Publish(d.settings.Name, d.metrics)
	d.log.Info("Daemon started.", zap.String("callers", d.CallerAddress()), zap.String("peers", d.PeerAddress()))
}

// serve serves a listener, over TLS where a configuration is given.
func (d *Daemon) serve(listener net.Listener, handler http.Handler, config *tls.Config) {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, TLSConfig: config}
	d.servers = append(d.servers, server)
	d.group.Go(func() {
		if config != nil {
			_ = server.ServeTLS(listener, "", "")
			return
		}
		_ = server.Serve(listener)
	})
}

// Close stops the daemon at once. Requests under way are cut off.
func (d *Daemon) Close() {
	d.stop(func() {
		d.cluster.Close()
		d.ledger.resign()
	})
}

// Kill stops the daemon without a word to the others, as a sudden death does.
// A log leader does not hand over its leadership.
func (d *Daemon) Kill() { d.stop(func() { d.cluster.Kill() }) }

func (d *Daemon) stop(leave func()) {
	d.closeOnce.Do(func() {
		for _, server := range d.servers {
			_ = server.Close()
		}
		d.listeners.close()
		if d.cancel != nil {
			d.cancel()
		}
		if d.entry != nil {
			d.entry.Close()
		}
		if d.cluster != nil {
			leave()
		}
		if d.ledger != nil {
			d.ledger.close()
		}
		if d.rpc != nil {
			d.rpc.Close()
		}
		d.engines.Close()
		d.services.Close()
		d.group.Wait()
		telemetry.Unpublish(d.settings.Name, d.metrics)
		ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
		defer cancel()
		if err := d.tracing.Close(ctx); err != nil {
			d.log.Warn("Traces not written.", zap.Error(err))
		}
	})
}

// listeners are the open sockets of a daemon.
type listeners struct {
	callers, endpoints, peers, admin net.Listener
}

// open opens all sockets, so that an address in use shows before anything starts.
func (l *listeners) open(config *settings.Settings, peers net.Listener) error {
	l.peers = peers
	for _, one := range []struct {
		field, address string
		listener       *net.Listener
	}{
		{"$.listen.callers", config.Listen.Callers, &l.callers},
		{"$.listen.endpoints", config.Listen.Endpoints, &l.endpoints},
		{"$.listen.peers", config.Listen.Peers, &l.peers},
		{"$.listen.admin", config.Listen.Admin, &l.admin},
	} {
		if *one.listener != nil {
			continue
		}
		listener, err := net.Listen("tcp", one.address)
		if err != nil {
			l.close()
			return &settings.Error{Field: one.field, Message: err.Error()}
		}
		*one.listener = listener
	}
	return nil
}

func (l *listeners) close() {
	for _, listener := range []net.Listener{l.callers, l.endpoints, l.peers, l.admin} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// NotReadyError says why the daemon takes no new requests.
type NotReadyError struct{ Reason string }

// Error implements error.
func (e *NotReadyError) Error() string { return "not ready: " + e.Reason }

// install puts a generation in force.
func (d *Daemon) install(number uint64, document []byte, digest string) error {
	doc, err := conf.Parse(document)
	if err != nil {
		return eris.Wrapf(err, "generation %d", number)
	}
	d.config.Install(number, doc, digest, time.Now())
	return nil
}
