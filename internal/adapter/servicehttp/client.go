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

// defaultMaxBody limits the response body of a service, in bytes.
const defaultMaxBody = 16 << 20

// BodyTooLongError reports that the response body of a service exceeds Max bytes.
type BodyTooLongError struct{ Max int64 }

// Error implements error.
func (e *BodyTooLongError) Error() string {
	return fmt.Sprintf("response body of the service is longer than %d bytes", e.Max)
}

// OtherAttemptError reports an answer that names another attempt than the call. A service
// may have answered that attempt twice, and the copy came on a connection in use again.
type OtherAttemptError struct{ Sent, Answered string }

// Error implements error.
func (e *OtherAttemptError) Error() string {
	return fmt.Sprintf("answer belongs to attempt %q, not to %q", e.Answered, e.Sent)
}

// Client calls plain services. It implements port.Service and is safe for
// concurrent use.
type Client struct {
	pools         *httpconn.Pools
	maxBody       int64
	injectHeaders func(ctx context.Context, header http.Header)
}

// Option configures a Client.
type Option func(*Client)

// WithMaxBody limits the response body of a service, in bytes.
func WithMaxBody(bytes int64) Option { return func(c *Client) { c.maxBody = bytes } }

// WithHeaders sets a function that adds headers from the context to each call, such as
// traceparent.
func WithHeaders(inject func(ctx context.Context, header http.Header)) Option {
	return func(c *Client) { c.injectHeaders = inject }
}

// NewClient returns a client with a pool of connections for each service endpoint.
func NewClient(conn httpconn.Options, opts ...Option) *Client {
	c := &Client{
		pools:         httpconn.NewPools(conn, func(string) {}),
		maxBody:       defaultMaxBody,
		injectHeaders: func(context.Context, http.Header) {},
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Close closes the idle pooled connections. Running calls continue.
func (c *Client) Close() { c.pools.CloseIdle() }

// Forget removes the pooled connections to an endpoint that no longer exists.
func (c *Client) Forget(baseURL string) { c.pools.Forget(baseURL) }

// Call implements port.Service. The context bounds the call. After a timeout the call
// may or may not have run.
func (c *Client) Call(ctx context.Context, baseURL string, call *port.ServiceCall) (*port.ServiceResult, error) {
	ctx, use := httpconn.Track(ctx, 0)
	req, err := http.NewRequestWithContext(ctx, call.Method, baseURL+call.Path, nil)
	if err != nil {
		return nil, eris.Wrap(err, "build request to service")
	}
	req.Header = requestHeader(call)
	setBody(req, call)
	c.injectHeaders(ctx, req.Header)
	pool := c.pools.Get(baseURL, time.Now())
	resp, err := pool.Client.Do(req)
	if err != nil {
		return nil, c.transportError(baseURL, pool, use, err)
	}
	defer resp.Body.Close()
	if err := httpconn.CheckStatus(resp.StatusCode); err != nil {
		return nil, &port.TransportError{Sent: true, Err: err}
	}
	use.VerifyEnd(resp)
	// Services need not name the attempt. Of one that does not, a second copy of an answer
	// is noticed only while the connection is idle, by net/http.
	if answered := resp.Header.Get(endpoint.HeaderAttempt); answered != "" && answered != call.AttemptID {
		return nil, &port.TransportError{Sent: true, Err: &OtherAttemptError{Sent: call.AttemptID, Answered: answered}}
	}
	return c.readResult(resp)
}

// setBody gives the request a body that net/http cannot replay. A request that is sent
// without a body gets an empty one of unknown length, since net/http replays such
// requests if their body is nil. net/http reads the end of the empty body before it
// writes the request, so it sends no body.
func setBody(req *http.Request, call *port.ServiceCall) {
	if len(call.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(call.Body))
		req.ContentLength = int64(len(call.Body))
		return
	}
	switch call.Method {
	case http.MethodPost, http.MethodPut, http.MethodPatch:
		// A nil body is sent with Content-Length 0, whereas an empty body of unknown
		// length would be sent chunked. net/http does not replay these methods once a
		// byte was written.
	default:
		req.Body = io.NopCloser(bytes.NewReader(nil))
	}
}

// readResult reads the complete response. Once the status line was received, the call
// counts as run, unless the service says that it did not run. It says so in the head, which
// is complete, so that a body which cannot be read does not matter then.
func (c *Client) readResult(resp *http.Response) (*port.ServiceResult, error) {
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
	return &port.ServiceResult{Status: resp.StatusCode, Header: forwardableHeaders(resp.Header), Body: body}, nil
}

// transportError classifies a failed round trip. After a timeout the pooled connections
// are replaced, since they may be silent too and new ones cost little.
func (c *Client) transportError(baseURL string, pool *httpconn.Pool, use *httpconn.Use, err error) error {
	transportErr := &port.TransportError{Sent: use.Sent(), Err: err}
	transportErr.Silent = transportErr.Sent && errors.Is(err, context.DeadlineExceeded)
	if transportErr.Silent {
		c.pools.Suspect(baseURL, pool, func() bool { return true })
	}
	return transportErr
}
