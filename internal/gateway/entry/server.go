package entry

import (
	"context"
	"errors"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/boragelead/boragelead/internal/settings"
)

const (
	// maxHeaderBytes and headerTimeout bound the head of a request before its
	// document is known; callers stay well within them.
	maxHeaderBytes = 64 << 10
	headerTimeout  = 10 * time.Second
	// callerIdle closes idle connections of callers. It is above the idle
	// timeouts of documents, so that no caller meets a closing connection.
	callerIdle = 2 * time.Minute
	// callerKeepAlive is the silence after which TCP probes a caller.
	callerKeepAlive = 15 * time.Second
	// drainAccept is the part of the grace period in which new connections are
	// still served: the load balancer needs two checks to notice. What comes
	// later might not end before the process is killed.
	drainAccept = 0.3
	// drainEnd is the part of the grace period after which running answers are cut.
	drainEnd = 0.93
)

// Server listens for callers and for health checks.
type Server struct {
	entry   *Entry
	callers *http.Server
	ready   *http.Server
}

// Addresses are where a server listens, as IP:port.
type Addresses struct{ Callers, Ready string }

// Serve starts to listen on the addresses of the settings. The error is that
// of the listeners.
func Serve(e *Entry) (*Server, error) {
	s, _, err := ServeOn(e, e.options.Settings.Listen.Callers, e.options.Settings.Listen.Ready)
	return s, err
}

// ServeOn starts to listen on the given addresses and returns the real ones.
func ServeOn(e *Entry, callers, ready string) (*Server, Addresses, error) {
	silent := stdlog.New(io.Discard, "", 0)
	s := &Server{
		entry: e,
		callers: &http.Server{
			Handler: e, ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdle, MaxHeaderBytes: maxHeaderBytes, ErrorLog: silent,
		},
		ready: &http.Server{Handler: e.ReadyHandler(), ReadHeaderTimeout: headerTimeout, ErrorLog: silent},
	}
	var at Addresses
	var err error
	if at.Callers, err = s.listen(s.callers, callers); err == nil {
		at.Ready, err = s.listen(s.ready, ready)
	}
	if err != nil {
		s.close()
		return nil, at, err
	}
	return s, at, nil
}

// listen serves on an address in the background and returns the real one.
func (s *Server) listen(server *http.Server, address string) (string, error) {
	listen := net.ListenConfig{KeepAlive: callerKeepAlive}
	listener, err := listen.Listen(context.Background(), "tcp4", address)
	if err != nil {
		return "", err
	}
	go s.serve(server, listener)
	return listener.Addr().String(), nil
}

func (s *Server) serve(server *http.Server, listener net.Listener) {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		s.entry.log.Error("Listener ended.", zap.String("address", listener.Addr().String()), zap.Error(err))
	}
}

func (s *Server) close() {
	_ = s.callers.Close()
	_ = s.ready.Close()
}

// Drain ends the service within the grace period: readiness goes off at once,
// new requests are served until the load balancer has noticed, and running
// ones may end.
func (s *Server) Drain() {
	grace := settings.Seconds(s.entry.options.Settings.Bounds.GraceS)
	began := time.Now()
	s.entry.Drain()
	s.entry.log.Info("Draining.", zap.Duration("grace", grace))
	time.Sleep(time.Duration(float64(grace) * drainAccept))
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(time.Duration(float64(grace)*drainEnd)))
	defer cancel()
	if err := s.callers.Shutdown(ctx); err != nil {
		s.entry.log.Warn("Answers cut off by the end of the grace period.", zap.Int64("running", s.entry.metrics.inFlight.Value()), zap.Error(err))
	}
	s.close()
}
