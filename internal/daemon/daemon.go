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
	"github.com/boragelead/boragelead/internal/guard"
	"github.com/boragelead/boragelead/internal/inlet"
	"github.com/boragelead/boragelead/internal/port"
	"github.com/boragelead/boragelead/internal/settings"
	"github.com/boragelead/boragelead/internal/telemetry"
)

const (
	// headerTimeout bounds the time that a client may take to send the headers of a request.
	headerTimeout = 10 * time.Second
	// idleTimeout is the time after which a connection without requests is closed.
	idleTimeout = 2 * time.Minute
	// callerShare, peersShare, endpointShare and adminShare are the shares of the listeners of
	// all connections.
	callerShare   = 0.5
	peersShare    = 0.25
	endpointShare = 0.125
	adminShare    = 0.125
	// bodyCopies is how often the body of a request is held while it is read, decoded and run.
	bodyCopies = 3
	// maxExplainRecords is the number of requests whose explain records are kept, about 1 KB each.
	maxExplainRecords = 8192
	// closeTimeout bounds the flush of traces when the daemon stops.
	closeTimeout = 2 * time.Second
)

// Options change a daemon beyond its settings. The zero value is the one for production.
type Options struct {
	// Baseline replaces scheduling decisions by simple ones, so that a benchmark can compare them.
	Baseline entry.Baseline
	// PeerListener replaces the listener of $.listen.peers, so that the addresses
	// of several daemons in one process are known before any of them starts.
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
	inlet     *inlet.Inlet
	cluster   *cluster.Cluster
	ledger    *ledgerAccess
	engines   *enginehttp.Client
	services  *servicehttp.Client
	entry     *entry.Service

	callerTLS *tls.Config
	adminTLS  *tls.Config
	// forwardTLS verifies the certificates of peers when requests are forwarded to them.
	forwardTLS *tls.Config
	listeners  listeners
	servers    []boundServer
	group      sync.WaitGroup
	cancel     context.CancelFunc
	notReady   atomic.Bool
	drained    chan struct{}
	drainOnce  sync.Once
	closeOnce  sync.Once
}

// Start builds a daemon and opens its listeners. If an address cannot be
// opened, the error names the setting that holds it.
func Start(config *settings.Settings, log *zap.Logger, options Options) (*Daemon, error) {
	d := &Daemon{
		settings: config,
		log:      log.With(zap.String("daemon", config.Name)),
		config:   conf.NewStore(),
		instance: newInstanceID(),
		registry: member.NewRegistry(),
		metrics:  telemetry.NewRegistry(),
		drained:  make(chan struct{}),
	}
	d.inlet = inlet.New(inlet.Options{Size: inlet.SizeOfHeap(config.Limits.MaxMemoryBytes), Log: d.log, Metrics: d.metrics})
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

// newInstanceID returns a random number that distinguishes this start of the
// daemon from other starts under the same name.
func newInstanceID() uint64 {
	id := uuid.New()
	return binary.LittleEndian.Uint64(id[:8])
}

// Name returns the name of the daemon.
func (d *Daemon) Name() string { return d.settings.Name }

// FailureDomain returns the failure domain of the daemon.
func (d *Daemon) FailureDomain() string { return d.settings.FailureDomain }

// Config returns the store that holds the active generation of the document.
func (d *Daemon) Config() *conf.Store { return d.config }

// Registry returns the registry of endpoints.
func (d *Daemon) Registry() *member.Registry { return d.registry }

// Metrics returns the metrics of the daemon.
func (d *Daemon) Metrics() *telemetry.Registry { return d.metrics }

// Entry returns the request pipeline.
func (d *Daemon) Entry() *entry.Service { return d.entry }

// Cluster returns the connection to the other daemons.
func (d *Daemon) Cluster() *cluster.Cluster { return d.cluster }

// RPC returns the node that sends and serves calls between daemons.
func (d *Daemon) RPC() *peerrpc.Node { return d.rpc }

// Ledger returns the client of the replicated state.
func (d *Daemon) Ledger() port.Ledger { return d.ledger.client }

// CallerAddress returns the IP:port on which callers are served.
func (d *Daemon) CallerAddress() string { return d.listeners.callers.Addr().String() }

// EndpointAddress returns the IP:port on which announcements of endpoints are served.
func (d *Daemon) EndpointAddress() string { return d.listeners.endpoints.Addr().String() }

// PeerAddress returns the IP:port on which other daemons are served.
func (d *Daemon) PeerAddress() string { return d.listeners.peers.Addr().String() }

// AdminAddress returns the IP:port on which operators are served.
func (d *Daemon) AdminAddress() string { return d.listeners.admin.Addr().String() }

// Drained returns a channel that is closed when a graceful shutdown has ended.
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
	peers := d.inlet.Listen(d.listeners.peers, "peers", peersShare, false)
	d.group.Go(func() { d.rpc.Serve(peers) })
	d.cluster.Start()
	d.entry.Start()
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	d.group.Go(func() {
		guard.Loop(ctx, func() { d.sweepOwners(ctx) }, func(err error) {
			d.log.Error("Background task failed unexpectedly and runs again.", zap.Error(err))
		})
	})
	callers := d.inlet.Listen(d.listeners.callers, "callers", callerShare, true)
	callers.BoundBuffers()
	d.serve(callers, d.callerHandler(), d.callerTLS)
	d.serve(d.inlet.Listen(d.listeners.endpoints, "endpoints", endpointShare, true), d.endpointHandler(), nil)
	d.serve(d.inlet.Listen(d.listeners.admin, "admin", adminShare, true), d.adminHandler(), d.adminTLS)
	telemetry.Publish(d.settings.Name, d.metrics)
	d.log.Info("Daemon started.", zap.String("callers", d.CallerAddress()), zap.String("peers", d.PeerAddress()))
}

// boundServer is an HTTP server with the listener that it serves.
type boundServer struct {
	*http.Server
	listener *inlet.Listener
}

// serve accepts HTTP connections on a listener in the background; it uses TLS
// if a TLS configuration is given.
func (d *Daemon) serve(listener *inlet.Listener, handler http.Handler, config *tls.Config) {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, TLSConfig: config}
	inlet.Bound(server, listener, bodyCopies)
	d.servers = append(d.servers, boundServer{Server: server, listener: listener})
	d.group.Go(func() {
		if config != nil {
			_ = server.ServeTLS(listener, "", "")
			return
		}
		_ = server.Serve(listener)
	})
}

// Close stops the daemon immediately and breaks off the requests in flight. It
// tells the other daemons that this one leaves.
func (d *Daemon) Close() {
	d.stop(func() {
		d.cluster.Close()
		d.ledger.resign()
	})
}

// Kill stops the daemon without notifying the others, as a crash does. If its
// replica leads the log, the leadership is not handed over.
func (d *Daemon) Kill() { d.stop(func() { d.cluster.Kill() }) }

func (d *Daemon) stop(leaveCluster func()) {
	d.closeOnce.Do(func() {
		for _, server := range d.servers {
			_ = server.listener.CloseServer(server.Server)
		}
		d.listeners.close()
		if d.cancel != nil {
			d.cancel()
		}
		if d.entry != nil {
			d.entry.Close()
		}
		if d.cluster != nil {
			leaveCluster()
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
			d.log.Warn("Could not export all remaining traces.", zap.Error(err))
		}
	})
}

// listeners holds the listening sockets of a daemon.
type listeners struct {
	callers, endpoints, peers, admin net.Listener
}

// open opens all sockets before anything is served, so that an address in use
// is reported before the daemon starts.
func (l *listeners) open(config *settings.Settings, peers net.Listener) error {
	l.peers = peers
	for _, socket := range []struct {
		field, address string
		listener       *net.Listener
	}{
		{"$.listen.callers", config.Listen.Callers, &l.callers},
		{"$.listen.endpoints", config.Listen.Endpoints, &l.endpoints},
		{"$.listen.peers", config.Listen.Peers, &l.peers},
		{"$.listen.admin", config.Listen.Admin, &l.admin},
	} {
		if *socket.listener != nil {
			continue
		}
		listener, err := net.Listen("tcp", socket.address)
		if err != nil {
			l.close()
			return &settings.Error{Field: socket.field, Message: err.Error()}
		}
		*socket.listener = listener
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

// NotReadyError reports why the daemon takes no new requests.
type NotReadyError struct{ Reason string }

// Error implements error.
func (e *NotReadyError) Error() string { return "not ready: " + e.Reason }

// install makes a generation the active one.
func (d *Daemon) install(number uint64, document []byte, digest string) error {
	doc, err := conf.Parse(document)
	if err != nil {
		return eris.Wrapf(err, "parse document of generation %d", number)
	}
	d.config.Install(number, doc, digest, time.Now())
	return nil
}
