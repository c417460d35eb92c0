package enginehttp

import (
	"context"
	"net/http"
	"time"

	"github.com/boragelead/boragelead/internal/adapter/httpconn"
)

// Defaults of a Client.
const (
	// defaultIdle is several times the interval of ping frames.
	defaultIdle = 3 * time.Second
	// defaultHeaderTimeout bounds the time to the status line: engines send it
	// when they queue a generation, not when they run it.
	defaultHeaderTimeout = 2 * time.Second
	defaultCallTimeout   = 5 * time.Second
	defaultProbeTimeout  = time.Second
)

type options struct {
	idle          time.Duration
	headerTimeout time.Duration
	callTimeout   time.Duration
	probeTimeout  time.Duration
	conn          httpconn.Options
	headers       func(ctx context.Context, header http.Header)
	controller    string
	replaced      func(baseURL string)
}

// Option changes a Client.
type Option func(*options)

// WithIdle sets the idle deadline of streams that set none themselves.
func WithIdle(d time.Duration) Option { return func(o *options) { o.idle = d } }

// WithHeaderTimeout bounds the time until a generation is accepted or refused.
func WithHeaderTimeout(d time.Duration) Option {
	return func(o *options) { o.headerTimeout = d }
}

// WithCallTimeout bounds calls other than generations and KV imports.
func WithCallTimeout(d time.Duration) Option { return func(o *options) { o.callTimeout = d } }

// WithProbeTimeout bounds the probe of an endpoint on a new connection.
func WithProbeTimeout(d time.Duration) Option { return func(o *options) { o.probeTimeout = d } }

// WithConnections sets the options of the TCP connections.
func WithConnections(conn httpconn.Options) Option { return func(o *options) { o.conn = conn } }

// WithHeaders adds headers from the context to each request, such as traceparent.
func WithHeaders(inject func(ctx context.Context, header http.Header)) Option {
	return func(o *options) { o.headers = inject }
}

// WithControllerToken sets the token shown to engines that check the sender of orders.
func WithControllerToken(token string) Option { return func(o *options) { o.controller = token } }

// WithReplaced sets a function that is called after the connection pool of an
// endpoint was replaced because of silent connections.
func WithReplaced(f func(baseURL string)) Option { return func(o *options) { o.replaced = f } }

func newOptions(list []Option) options {
	o := options{
		idle: defaultIdle, headerTimeout: defaultHeaderTimeout,
		callTimeout: defaultCallTimeout, probeTimeout: defaultProbeTimeout,
		headers:  func(context.Context, http.Header) {},
		replaced: func(string) {},
	}
	for _, change := range list {
		change(&o)
	}
	return o
}
