package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/boragelead/boragelead/internal/adapter/peerrpc"
	"github.com/boragelead/boragelead/internal/gateway/entry"
	"github.com/boragelead/boragelead/internal/gateway/state"
	"github.com/boragelead/boragelead/internal/hangup"
	"github.com/boragelead/boragelead/internal/inlet"
	"github.com/boragelead/boragelead/internal/settings"
	"github.com/boragelead/boragelead/internal/telemetry"
	"github.com/boragelead/boragelead/platform"
)

const (
	// settingsVariable is the environment variable that holds the path of the settings
	// file.
	settingsVariable = "BORAGELEAD_CONFIG"
	// memoryShare is the share of the VM's memory that is the soft limit of the heap. The
	// rest is for stacks, kernel buffers and the program itself.
	memoryShare = 0.6
	megabyte    = 1 << 20
	// controlHeaderTimeout bounds the time to read the headers of a request to the control
	// interface or the metrics listener.
	controlHeaderTimeout = 5 * time.Second
	// controlReadTimeout bounds the time to read a whole request, and maxControlHeaderBytes
	// its headers: many faulty endpoints at once must not use up the memory of a small VM.
	controlReadTimeout    = 30 * time.Second
	maxControlHeaderBytes = 16 << 10
	controlIdleTimeout    = 5 * time.Minute
	// controlShare, peersShare and metricsShare divide the accepted connections of a replica
	// among its listeners. The listener for metrics of an entry has metricsShare too.
	controlShare = 0.5
	peersShare   = 0.4375
	metricsShare = 0.0625
	// controlCopies is how often the body of a request is held while it is read, decoded and
	// stored.
	controlCopies = 3
	// stopPause delays the exit after the replica stopped, so that a replica with a
	// failing disk does not restart in a tight loop.
	stopPause = 500 * time.Millisecond
	// controlGrace is how long open requests to the control interface may take to complete
	// during a shutdown.
	controlGrace = 1500 * time.Millisecond
	// traceGrace bounds the export of the remaining spans during a shutdown.
	traceGrace = 300 * time.Millisecond
	// exitReplica is the exit code after the state replica stopped with an error.
	exitReplica = 5
)

// runGateway runs a gateway daemon until a signal stops it, and returns the exit code.
func runGateway(role settings.GatewayRole) int {
	signals := hangup.Signals()
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	config, err := settings.LoadGateway(os.Getenv(settingsVariable))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	log, flush := telemetry.NewBoundedLogger(config.Log, os.Stdout)
	defer flush()
	log = log.With(zap.String("daemon", config.Name))
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(gcPercent)
	if config.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(config.Limits.MemoryMB) * megabyte))
	}
	log.Info("Daemon starts.", zap.String("role", string(role)), zap.String("failure_domain", config.FailureDomain), zap.Strings("seeds", config.Seeds))
	metrics := telemetry.NewRegistry()
	share := inlet.ShareWithoutEndpoints
	if role == settings.RoleEntry {
		share = inlet.ShareWithEndpoints
	}
	size := inlet.SizeOf(int64(config.Limits.MemoryMB)*megabyte, config.Limits.FileDescriptors, share)
	g := &gatewayDaemon{
		config: config, log: log, metrics: metrics, seeds: config.Seeds, signals: signals,
		inlet: inlet.New(inlet.Options{Size: size, Log: log, Metrics: metrics}),
		rpc:   peerrpc.New(peerrpc.Options{Name: config.Name, Log: log}),
	}
	if err := g.serveMetrics(); err != nil {
		log.Warn("Metrics listener not started; metrics are not served.", zap.Error(err))
	}
	if role == settings.RoleEntry {
		err = g.runEntry()
	} else {
		err = g.runState()
	}
	if err != nil {
		log.Error("Failed to start the daemon.", zap.Error(err))
		return startExitCode(err)
	}
	log.Info("Daemon stops.")
	return 0
}

// gatewayDaemon holds what the entry and state roles have in common.
type gatewayDaemon struct {
	config  *settings.Gateway
	log     *zap.Logger
	metrics *telemetry.Registry
	rpc     *peerrpc.Node
	inlet   *inlet.Inlet
	signals chan os.Signal
	// seeds are the seeds that are in effect.
	seeds []string
	// settingsInvalid is set while the settings file cannot be loaded.
	settingsInvalid bool
}

// newControlServer returns a server for endpoints, operators and collectors of metrics.
func newControlServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: controlHeaderTimeout, ReadTimeout: controlReadTimeout, IdleTimeout: controlIdleTimeout,
		MaxHeaderBytes: maxControlHeaderBytes,
	}
}

func (g *gatewayDaemon) serveMetrics() error {
	if g.config.Listen.Metrics == "" {
		return nil
	}
	listener, err := net.Listen("tcp4", g.config.Listen.Metrics)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", g.metrics.TextHandler())
	server := newControlServer(mux)
	bounded := g.inlet.Listen(listener, "metrics", metricsShare, true)
	inlet.Bound(server, bounded, controlCopies)
	go func() { _ = server.Serve(bounded) }()
	return nil
}

func (g *gatewayDaemon) runEntry() error {
	tracing, err := telemetry.NewTracing(g.config.Trace, g.config.Name, g.config.FailureDomain)
	if err != nil {
		return err
	}
	defer g.flushTraces(tracing)
	e := entry.New(entry.Options{
		Settings: g.config, Dialect: platform.Dialect{}, Decode: platform.DecodeDocument,
		Caller: g.rpc, Log: g.log, Metrics: g.metrics, Tracing: tracing, Inlet: g.inlet,
	})
	e.Start()
	defer e.Close()
	server, err := entry.Serve(e)
	if err != nil {
		return err
	}
	g.waitForStop(e.SetSeeds)
	server.Drain()
	return nil
}

// flushTraces exports the remaining spans.
func (g *gatewayDaemon) flushTraces(tracing *telemetry.Tracing) {
	ctx, cancel := context.WithTimeout(context.Background(), traceGrace)
	defer cancel()
	if err := tracing.Close(ctx); err != nil {
		g.log.Warn("Failed to export the remaining spans; they are lost.", zap.Error(err))
	}
}

func (g *gatewayDaemon) runState() error {
	s, err := state.Start(state.Options{
		Settings: g.config, Decode: platform.DecodeDocument, Duties: platform.NewDuties(g.config.Cloud.Address),
		RPC: g.rpc, Log: g.log, Metrics: g.metrics, OnStop: g.replicaStopped,
	})
	if err != nil {
		return err
	}
	peers, err := net.Listen("tcp4", cmp.Or(g.config.Listen.Peers, net.JoinHostPort(g.config.IP, strconv.Itoa(g.config.PeerPort))))
	if err != nil {
		return err
	}
	go func() { g.rpc.Serve(g.inlet.Listen(peers, "peers", peersShare, false)) }()
	s.Run()
	control, err := net.Listen("tcp4", g.config.Listen.Control)
	if err != nil {
		return err
	}
	var rollouts platform.Rollouts
	if g.config.Bounds.OffersRollouts() {
		rollouts = s
	}
	server := newControlServer(platform.ControlHandler(s, s, rollouts))
	bounded := g.inlet.Listen(control, "control", controlShare, true)
	inlet.Bound(server, bounded, controlCopies)
	go func() {
		if err := server.Serve(bounded); !errors.Is(err, http.ErrServerClosed) {
			g.log.Error("Control listener failed; it accepts no more requests.", zap.String("address", g.config.Listen.Control), zap.Error(err))
		}
	}()
	g.waitForStop(s.SetSeeds)
	ctx, cancel := context.WithTimeout(context.Background(), controlGrace)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		g.log.Warn("Control listener did not shut down in time; open requests are aborted.", zap.Error(err))
		_ = server.Close()
	}
	s.Close()
	return nil
}

// replicaStopped ends the process. After a disk error, a replica cannot know what its
// files contain; it reads them again at the next start.
func (g *gatewayDaemon) replicaStopped(err error) {
	g.log.Error("State replica stopped.", zap.Error(err))
	time.Sleep(stopPause)
	os.Exit(exitReplica)
}
