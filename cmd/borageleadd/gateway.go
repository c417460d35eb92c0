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
	"github.com/boragelead/boragelead/internal/settings"
	"github.com/boragelead/boragelead/internal/telemetry"
	"github.com/boragelead/boragelead/platform"
)

const (
	// settingsVariable holds the path of the settings file.
	settingsVariable = "BORAGELEAD_CONFIG"
	// memoryShare of its VM is the soft limit of the heap; the rest is for
	// stacks, buffers of the kernel and the program itself.
	memoryShare = 0.6
	megabyte    = 1 << 20
	// controlHeaderTimeout bounds the head of a request to the control interface.
	controlHeaderTimeout = 5 * time.Second
	// maxSignals are kept until the daemon has started.
	maxSignals = 4
	// stopPause keeps a replica whose disk fails from restarting in a tight loop.
	stopPause = 500 * time.Millisecond
	// controlGrace is how long requests of operators may still take at a stop.
	controlGrace = 1500 * time.Millisecond
	// traceGrace bounds the last export of spans.
	traceGrace = 300 * time.Millisecond
	// exitReplica is the exit code after the replica stopped.
	exitReplica = 5
)

// runGateway runs a daemon of the gateway until a signal ends it.
func runGateway(role settings.GatewayRole) int {
	// First of all: a hangup that finds no handler ends the process.
	signals := make(chan os.Signal, maxSignals)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
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
	g := &gatewayDaemon{config: config, log: log, metrics: telemetry.NewRegistry(), rpc: peerrpc.New(peerrpc.Options{Name: config.Name}), seeds: config.Seeds, signals: signals}
	if err := g.serveMetrics(); err != nil {
		log.Warn("Metrics not served.", zap.Error(err))
	}
	if role == settings.RoleEntry {
		err = g.runEntry()
	} else {
		err = g.runState()
	}
	if err != nil {
		log.Error("Daemon not started.", zap.Error(err))
		return startCode(err)
	}
	log.Info("Daemon stops.")
	return 0
}

// gatewayDaemon is what both roles share.
type gatewayDaemon struct {
	config  *settings.Gateway
	log     *zap.Logger
	metrics *telemetry.Registry
	rpc     *peerrpc.Node
	signals chan os.Signal
	// seeds are those in effect.
	seeds []string
	// settingsBroken is set while the settings file cannot be used.
	settingsBroken bool
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
	server := &http.Server{Handler: mux, ReadHeaderTimeout: controlHeaderTimeout}
	go func() { _ = server.Serve(listener) }()
	return nil
}

func (g *gatewayDaemon) runEntry() error {
	tracing, err := telemetry.NewTracing(g.config.Trace, g.config.Name, g.config.FailureDomain)
	if err != nil {
		return err
	}
	defer g.closeTracing(tracing)
	e := entry.New(entry.Options{
		Settings: g.config, Dialect: platform.Dialect{}, Decode: platform.DecodeDocument,
		Caller: g.rpc, Log: g.log, Metrics: g.metrics, Tracing: tracing,
	})
	e.Start()
	defer e.Close()
	server, err := entry.Serve(e)
	if err != nil {
		return err
	}
	g.awaitStop(e.SetSeeds)
	server.Drain()
	return nil
}

// closeTracing writes out the spans that are left.
func (g *gatewayDaemon) closeTracing(tracing *telemetry.Tracing) {
	ctx, cancel := context.WithTimeout(context.Background(), traceGrace)
	defer cancel()
	if err := tracing.Close(ctx); err != nil {
		g.log.Warn("Spans lost.", zap.Error(err))
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
	go func() { _ = g.rpc.Serve(peers) }()
	s.Run()
	control, err := net.Listen("tcp4", g.config.Listen.Control)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: platform.ControlHandler(s, s), ReadHeaderTimeout: controlHeaderTimeout}
	go func() {
		if err := server.Serve(control); !errors.Is(err, http.ErrServerClosed) {
			g.log.Error("Listener ended.", zap.String("address", g.config.Listen.Control), zap.Error(err))
		}
	}()
	// A replica learns the addresses of the others from the replicated state.
	g.awaitStop(func([]string) {})
	ctx, cancel := context.WithTimeout(context.Background(), controlGrace)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		g.log.Warn("Requests of operators cut off.", zap.Error(err))
		_ = server.Close()
	}
	s.Close()
	return nil
}

// replicaStopped ends the process: a replica whose disk failed does not know
// what its files hold, and reads them again at the next start.
func (g *gatewayDaemon) replicaStopped(err error) {
	g.log.Error("State replica stopped.", zap.Error(err))
	time.Sleep(stopPause)
	os.Exit(exitReplica)
}
