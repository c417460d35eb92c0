package httpconn

import (
	"context"
	"net"
	"net/http"
	"time"
)

// Options tune the connections of a transport. Zero fields have defaults.
type Options struct {
	// DialTimeout bounds the setup of a connection.
	DialTimeout time.Duration
	// KeepAliveIdle is the silence after which TCP probes the peer.
	KeepAliveIdle time.Duration
	// UserTimeout is how long sent data may stay unacknowledged.
	UserTimeout time.Duration
	// IdleTimeout closes pooled connections that are not used.
	IdleTimeout time.Duration
	// MaxIdlePerHost bounds pooled connections to one endpoint.
	MaxIdlePerHost int
}

// Defaults of Options.
const (
	defaultDialTimeout   = 2 * time.Second
	defaultKeepAliveIdle = 2 * time.Second
	defaultUserTimeout   = 3 * time.Second
	defaultIdleTimeout   = 60 * time.Second
	// defaultMaxIdlePerHost is above the slots of an engine, so that a burst
	// does not close connections that the next burst dials again.
	defaultMaxIdlePerHost = 1024

	keepAliveInterval = time.Second
	keepAliveCount    = 3
)

func (o Options) withDefaults() Options {
	orDefault(&o.DialTimeout, defaultDialTimeout)
	orDefault(&o.KeepAliveIdle, defaultKeepAliveIdle)
	orDefault(&o.UserTimeout, defaultUserTimeout)
	orDefault(&o.IdleTimeout, defaultIdleTimeout)
	orDefault(&o.MaxIdlePerHost, defaultMaxIdlePerHost)
	return o
}

func orDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// NewTransport returns a transport whose connections are tracked. It uses
// HTTP/1.1 without a proxy: one stream per connection keeps a silent
// connection from holding up other streams.
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
	}
}
