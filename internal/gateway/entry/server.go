package entry

import (
	"bytes"
	"context"
	"errors"
	stdlog "log"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/boragelead/boragelead/internal/inlet"
	"github.com/boragelead/boragelead/internal/settings"
)

const (
	// maxHeaderBytes and headerTimeout limit the header of a request, which is
	// read before its route is known. Requests of callers stay far below them.
	maxHeaderBytes = 64 << 10
	headerTimeout  = 10 * time.Second
	// maxForwardedHeaderBytes leaves room for what another entry adds to a request.
	maxForwardedHeaderBytes = maxHeaderBytes + 16<<10
	// callerIdleTimeout closes idle connections of callers. It is longer than the
	// idle timeouts in documents, so that no caller sends a request on a
	// connection that this entry is closing.
	callerIdleTimeout = 2 * time.Minute
	// callerKeepAlive is the TCP keep-alive period of connections of callers.
	callerKeepAlive = 15 * time.Second
	// callerShare, forwardedShare and readyShare divide the accepted connections of an entry
	// among its listeners; the rest is for the listener of metrics.
	callerShare    = 0.625
	forwardedShare = 0.25
	readyShare     = 0.0625
	// drainAcceptShare is the part of the grace period in which new connections
	// are still accepted: the load balancer needs two health checks to stop
	// sending requests. Later requests might not end before the process is killed.
	drainAcceptShare = 0.3
	// drainCancelShare is the part of the grace period after which running requests are
	// cancelled, so that their callers get an answer, and drainCutoffShare that after which
	// connections are closed.
	drainCancelShare = 0.9
	drainCutoffShare = 0.93
	// abortLogShare is the part of the grace period in which requests whose connections were
	// closed may write their log lines before the process ends.
	abortLogShare = 0.01
	// drainPollInterval is the time between two looks at the number of running requests.
	drainPollInterval = 10 * time.Millisecond
)

// Server holds the HTTP servers for callers, for health checks and for other entries.
type Server struct {
	entry     *Entry
	callers   *http.Server
	ready     *http.Server
	forwarded *http.Server
	// listeners are those for callers and for other entries. stopped is set once they are
	// closed on purpose.
	listeners []net.Listener
	stopped   atomic.Bool
}

// Addresses are the addresses on which a server listens, as IP:port.
type Addresses struct{ Callers, Ready, Forwarded string }

// Serve starts to listen on the addresses of the settings. It returns the error
// of the listener that failed. Other entries forward requests to the address of the
// settings once the entry listens; without that it serves its own callers only.
func Serve(e *Entry) (*Server, error) {
	config := e.options.Settings
	s, bound, err := ServeOn(e, Addresses{Callers: config.Listen.Callers, Ready: config.Listen.Ready, Forwarded: config.Listen.Forwarded})
	if err == nil && bound.Forwarded != "" {
		e.OfferForwarding(net.JoinHostPort(config.IP, strconv.Itoa(config.ForwardPort)))
	}
	return s, err
}

// ServeOn starts to listen on the given addresses and returns the bound ones,
// which differ for port 0.
func ServeOn(e *Entry, addresses Addresses) (*Server, Addresses, error) {
	serverLog := stdlog.New(panicLog{e}, "", 0)
	s := &Server{
		entry: e,
		callers: &http.Server{
			Handler: e, ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdleTimeout, MaxHeaderBytes: maxHeaderBytes, ErrorLog: serverLog,
		},
		ready: &http.Server{
			Handler: e.ReadyHandler(), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes, ErrorLog: serverLog,
		},
		forwarded: &http.Server{
			Handler: e.forwarding, ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdleTimeout, MaxHeaderBytes: maxForwardedHeaderBytes, ErrorLog: serverLog,
		},
	}
	var bound Addresses
	var err error
	if bound.Callers, err = s.listen(s.callers, addresses.Callers); err == nil {
		bound.Ready, err = s.listen(s.ready, addresses.Ready)
	}
	if err == nil && addresses.Forwarded != "" {
		var forwardErr error
		if bound.Forwarded, forwardErr = s.listen(s.forwarded, addresses.Forwarded); forwardErr != nil {
			e.log.Error("No requests of other entries are taken.", zap.String("address", addresses.Forwarded), zap.Error(forwardErr))
		}
	}
	if err != nil {
		s.close()
		return nil, bound, err
	}
	return s, bound, nil
}

// panicLog logs the panics of handlers that an HTTP server reports. The other messages of a
// server are about connections of callers, and are as many as callers want.
type panicLog struct{ entry *Entry }

// Write implements io.Writer.
func (l panicLog) Write(message []byte) (int, error) {
	if bytes.Contains(message, []byte("panic serving")) {
		l.entry.metrics.panics.Inc()
		l.entry.log.Error("Handling of a request failed unexpectedly.", zap.ByteString("message", message))
	}
	return len(message), nil
}

// listen serves on an address in the background and returns the bound address.
func (s *Server) listen(server *http.Server, address string) (string, error) {
	listen := net.ListenConfig{KeepAlive: callerKeepAlive}
	inner, err := listen.Listen(context.Background(), "tcp4", address)
	if err != nil {
		return "", err
	}
	name, share := s.place(server)
	listener := s.entry.inlet.Listen(inner, name, share, true)
	inlet.Bound(server, listener, 0)
	if server == s.callers {
		listener.BoundBuffers()
		s.entry.callers.Store(listener)
		s.entry.limitCallers()
	}
	if server != s.ready {
		s.listeners = append(s.listeners, listener)
	}
	go s.serve(server, listener)
	return listener.Addr().String(), nil
}

// place returns the name of a server's listener and its share of the connections.
func (s *Server) place(server *http.Server) (name string, share float64) {
	switch server {
	case s.callers:
		return "callers", callerShare
	case s.forwarded:
		return "forwarded", forwardedShare
	}
	return "ready", readyShare
}

func (s *Server) serve(server *http.Server, listener net.Listener) {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) && !s.stopped.Load() {
		s.entry.log.Error("Listener failed; no further connections are accepted on this address.", zap.String("address", listener.Addr().String()), zap.Error(err))
	}
}

func (s *Server) close() {
	_ = s.callers.Close()
	_ = s.ready.Close()
	_ = s.forwarded.Close()
}

// Drain shuts the server down within the grace period. The entry reports at once that it is
// not ready, and accepts new requests until the load balancer has noticed. Then it refuses
// them, as not run, and waits for the running ones. Those that still run shortly before the
// end get their final answer.
func (s *Server) Drain() {
	grace := settings.Seconds(s.entry.options.Settings.Bounds.GraceS)
	at := func(share float64) time.Time { return time.Now().Add(time.Duration(float64(grace) * share)) }
	acceptEnd, cancelAt, end := at(drainAcceptShare), at(drainCancelShare), at(drainCutoffShare)
	s.entry.Drain()
	s.entry.log.Info("Draining.", zap.Duration("grace", grace))
	time.Sleep(time.Until(acceptEnd))
	s.refuseNew()
	if !s.awaitIdle(cancelAt) {
		s.entry.log.Warn("Grace period almost over; running requests get their final answer.", zap.Int64("running", s.entry.runningRequests()))
		s.entry.running.log(s.entry.log, "Request still runs near the end of the grace period.", time.Now())
		s.entry.cancelRequests()
		s.awaitIdle(end)
	}
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if err := errors.Join(s.callers.Shutdown(ctx), s.forwarded.Shutdown(ctx)); err != nil {
		s.entry.log.Warn("Grace period over; running requests are aborted.", zap.Int64("running", s.entry.runningRequests()), zap.Error(err))
		s.entry.running.log(s.entry.log, "Request aborted at the end of the grace period.", time.Now())
	}
	s.close()
	s.awaitIdle(at(abortLogShare))
}

// refuseNew closes the listeners for callers and other entries, and refuses what arrives on
// connections that are open.
func (s *Server) refuseNew() {
	s.entry.refusing.Store(true)
	s.stopped.Store(true)
	s.callers.SetKeepAlivesEnabled(false)
	s.forwarded.SetKeepAlivesEnabled(false)
	for _, listener := range s.listeners {
		_ = listener.Close()
	}
}

// awaitIdle waits until no request runs, and reports whether that was the case by a time.
func (s *Server) awaitIdle(until time.Time) bool {
	for s.entry.runningRequests() > 0 {
		if !time.Now().Before(until) {
			return false
		}
		time.Sleep(drainPollInterval)
	}
	return true
}
