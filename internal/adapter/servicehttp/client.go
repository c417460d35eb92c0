package servicehttp

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/boragelead/boragelead/api/endpoint"
	"github.com/boragelead/boragelead/internal/adapter/httpconn"
	"github.com/boragelead/boragelead/internal/port"
)

// defaultMaxBody bounds the answer of a service, in bytes.
const defaultMaxBody = 16 << 20

// BodyTooLongError says that a service answered with more than is kept in memory.
type BodyTooLongError struct{ Max int64 }

// Error implements error.
func (e *BodyTooLongError) Error() string {
	return fmt.Sprintf("answer of the service is longer than %d bytes", e.Max)
}

// Client calls plain services. It implements port.Service and is safe for
// concurrent use.
type Client struct {
	pools   *httpconn.Pools
	maxBody int64
	headers func(ctx context.Context, header http.Header)
}

// Option changes a Client.
type Option func(*Client)

// WithMaxBody bounds the answer of a service, in bytes.
func WithMaxBody(bytes int64) Option { return func(c *Client) { c.maxBody = bytes } }

// WithHeaders adds headers from the context to each call, such as traceparent.
func WithHeaders(inject func(ctx context.Context, header http.Header)) Option {
	return func(c *Client) { c.headers = inject }
}

// NewClient returns a client with a pool of connections per service endpoint.
func NewClient(conn httpconn.Options, list ...Option) *Client {
	c := &Client{
		pools:   httpconn.NewPools(conn, func(string) {}),
		maxBody: defaultMaxBody,
		headers: func(context.Context, http.Header) {},
	}
	for _, change := range list {
		change(c)
	}
	return c
}

// Close closes the pooled connections. Running calls are not touched.
func (c *Client) Close() { c.pools.CloseIdle() }

// Forget drops the connections to an endpoint that left.
func (c *Client) Forget(baseURL string) { c.pools.Forget(baseURL) }

// Call implements port.Service. The context bounds the call; a timeout proves nothing.
func (c *Client) Call(ctx context.Context, baseURL string, call *port.ServiceCall) (*port.ServiceResult, error) {
	ctx, use := httpconn.Track(ctx, 0)
	req, err := http.NewRequestWithContext(ctx, call.Method, baseURL+call.Path, nil)
	if err != nil {
		return nil, eris.Wrap(err, "build request to service")
	}
	req.Header = requestHeader(call)
	setBody(req, call)
	c.headers(ctx, req.Header)
	pool := c.pools.Get(baseURL, time.Now())
	resp, err := pool.Client.Do(req)
	if err != nil {
		return nil, c.failure(baseURL, pool, use, err)
	}
	defer resp.Body.Close()
	return c.result(resp)
}

// setBody gives the request a body that net/http cannot replay. A method that
// has no body on the wire gets an empty one of unknown length for that reason:
// net/http replays such requests if their body is nil. It finds the end of the
// empty body before it writes, and sends none.
func setBody(req *http.Request, call *port.ServiceCall) {
	if len(call.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(call.Body))
		req.ContentLength = int64(len(call.Body))
		return
	}
	switch call.Method {
	case http.MethodPost, http.MethodPut, http.MethodPatch:
		// A nil body is sent with a length of 0, where an empty one would be
		// sent in chunks. These methods are not replayed once a byte was written.
	default:
		req.Body = io.NopCloser(bytes.NewReader(nil))
	}
}

// result reads the whole answer. Once the status line came, the call ran,
// unless the service says that it did not.
func (c *Client) result(resp *http.Response) (*port.ServiceResult, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.maxBody+1))
	if resp.Header.Get(endpoint.HeaderRun) == string(endpoint.NotRun) && resp.StatusCode/100 != 2 {
		refused := endpoint.ErrorBody{Code: endpoint.CodeOverloaded, Message: http.StatusText(resp.StatusCode), Run: endpoint.NotRun}
		return nil, &port.RefusedError{Status: resp.StatusCode, Body: refused}
	}
	if err != nil {
		return nil, &port.TransportError{Sent: true, Err: err}
	}
	if int64(len(body)) > c.maxBody {
		return nil, &port.TransportError{Sent: true, Err: &BodyTooLongError{Max: c.maxBody}}
	}
	return &port.ServiceResult{Status: resp.StatusCode, Header: withoutHops(resp.Header), Body: body}, nil
}

// failure classifies a failed round trip. After a timeout the pooled
// connections are dropped: they may be silent too, and a new one costs little.
func (c *Client) failure(baseURL string, pool *httpconn.Pool, use *httpconn.Use, err error) error {
	failed := &port.TransportError{Sent: use.Sent(), Err: err}
	failed.Silent = failed.Sent && errors.Is(err, context.DeadlineExceeded)
	if failed.Silent {
		c.pools.Suspect(baseURL, pool, func() bool { return true })
	}
	return failed
}
