package httpconn

import (
	"context"
	"net"
	"net/http"
	"time"
)

// Options configure the connections of a transport. Fields that are zero get their
// default values.
type Options struct {
	// DialTimeout bounds the time to set up a connection.
	DialTimeout time.Duration
	// KeepAliveIdle is the idle time after which TCP keepalive probes the peer.
	KeepAliveIdle time.Duration
	// UserTimeout is how long sent data may stay unacknowledged before the connection
	// is closed.
	UserTimeout time.Duration
	// IdleTimeout is the time after which an unused pooled connection is closed.
	IdleTimeout time.Duration
	// MaxIdlePerHost limits the idle pooled connections to one endpoint.
	MaxIdlePerHost int
}

// Defaults of Options.
const (
	defaultDialTimeout   = 2 * time.Second
	defaultKeepAliveIdle = 2 * time.Second
	defaultUserTimeout   = 3 * time.Second
	defaultIdleTimeout   = 60 * time.Second
	// defaultMaxIdlePerHost exceeds the slots of a model engine, so that connections
	// are not closed after a burst of requests and dialled again for the next burst.
	defaultMaxIdlePerHost = 1024

	// maxHeadBytes limits the status line and header of a response. An endpoint may
	// send a head without end.
	maxHeadBytes = 64 << 10

	keepAliveInterval = time.Second
	keepAliveCount    = 3
)

func (o Options) withDefaults() Options {
	setDefault(&o.DialTimeout, defaultDialTimeout)
	setDefault(&o.KeepAliveIdle, defaultKeepAliveIdle)
	setDefault(&o.UserTimeout, defaultUserTimeout)
	setDefault(&o.IdleTimeout, defaultIdleTimeout)
	setDefault(&o.MaxIdlePerHost, defaultMaxIdlePerHost)
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// NewTransport returns a transport whose connections can be tracked with Track. It
// uses HTTP/1.1 without a proxy. With one request at a time on a connection, a silent
// connection cannot delay other requests.
func NewTransport(options Options) *http.Transport {
	options = options.withDefaults()
	dialer := NewDialer(options)
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return newConn(conn), nil
		},
		MaxIdleConnsPerHost: options.MaxIdlePerHost,
		IdleConnTimeout:     options.IdleTimeout,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxHeadBytes,
	}
}
