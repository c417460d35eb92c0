package enginehttp

import (
	"context"
	"net/http"
	"time"

	"github.com/boragelead/boragelead/internal/adapter/httpconn"
)

// Default timeouts of a Client.
const (
	// defaultIdleTimeout is several times the interval of ping frames.
	defaultIdleTimeout = 3 * time.Second
	// defaultHeaderTimeout limits the time until the status line arrives.
	// Engines send it when they queue a generation, not when they run it.
	defaultHeaderTimeout = 2 * time.Second
	defaultCallTimeout   = 5 * time.Second
	defaultProbeTimeout  = time.Second
)

type options struct {
	idleTimeout     time.Duration
	headerTimeout   time.Duration
	callTimeout     time.Duration
	probeTimeout    time.Duration
	conn            httpconn.Options
	injectHeaders   func(ctx context.Context, header http.Header)
	controllerToken string
	onPoolReplaced  func(baseURL string)
}

// Option configures a Client.
type Option func(*options)

// WithIdleTimeout sets the idle timeout of streams for which SetIdle is not called.
func WithIdleTimeout(d time.Duration) Option { return func(o *options) { o.idleTimeout = d } }

// WithHeaderTimeout limits the time until a generation is accepted or refused.
func WithHeaderTimeout(d time.Duration) Option {
	return func(o *options) { o.headerTimeout = d }
}

// WithCallTimeout limits the duration of calls other than generations and KV imports.
func WithCallTimeout(d time.Duration) Option { return func(o *options) { o.callTimeout = d } }

// WithProbeTimeout limits the duration of the probe of an endpoint on a new connection.
func WithProbeTimeout(d time.Duration) Option { return func(o *options) { o.probeTimeout = d } }

// WithConnections sets the options of TCP connections.
func WithConnections(conn httpconn.Options) Option { return func(o *options) { o.conn = conn } }

// WithHeaders sets a function that adds headers from the context to each
// request, such as traceparent.
func WithHeaders(inject func(ctx context.Context, header http.Header)) Option {
	return func(o *options) { o.injectHeaders = inject }
}

// WithControllerToken sets the token that is sent with orders, for engines that
// authenticate the sender.
func WithControllerToken(token string) Option { return func(o *options) { o.controllerToken = token } }

// WithOnPoolReplaced sets a function that is called after the connection pool
// of an endpoint was replaced because its connections had gone silent.
func WithOnPoolReplaced(f func(baseURL string)) Option {
	return func(o *options) { o.onPoolReplaced = f }
}

func newOptions(opts []Option) options {
	o := options{
		idleTimeout: defaultIdleTimeout, headerTimeout: defaultHeaderTimeout,
		callTimeout: defaultCallTimeout, probeTimeout: defaultProbeTimeout,
		injectHeaders:  func(context.Context, http.Header) {},
		onPoolReplaced: func(string) {},
	}
	for _, apply := range opts {
		apply(&o)
	}
	return o
}
