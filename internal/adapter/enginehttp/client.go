package enginehttp

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/boragelead/boragelead/api/endpoint"
	"github.com/boragelead/boragelead/internal/adapter/httpconn"
	"github.com/boragelead/boragelead/internal/port"
)

const (
	// maxErrorBodyBytes bounds what is read of a refusal.
	maxErrorBodyBytes = 64 << 10
	// unsentRetries bounds the repeats of a request that met a pooled
	// connection which its peer had closed before any byte was written.
	unsentRetries = 1
)

// Client calls model engines. It implements port.Engine and is safe for
// concurrent use.
type Client struct {
	options options
	pools   *httpconn.Pools
}

// NewClient returns a client with a pool of connections per endpoint.
func NewClient(list ...Option) *Client {
	o := newOptions(list)
	return &Client{options: o, pools: httpconn.NewPools(o.conn, o.replaced)}
}

// Close closes the pooled connections. Running streams are not touched.
func (c *Client) Close() { c.pools.CloseIdle() }

// Forget drops the connections to an endpoint that left.
func (c *Client) Forget(baseURL string) { c.pools.Forget(baseURL) }

// Generate implements port.Engine. The stream implements port.IdleStream.
func (c *Client) Generate(ctx context.Context, baseURL string, req *endpoint.GenerateRequest) (port.FrameStream, error) {
	r, err := c.post(ctx, baseURL, endpoint.PathGenerate, req, c.options.headerTimeout)
	if err != nil {
		return nil, err
	}
	return newFrameStream(c, baseURL, r), nil
}

// Cancel implements port.Engine.
func (c *Client) Cancel(ctx context.Context, baseURL, attemptID string) error {
	return c.call(ctx, baseURL, endpoint.PathCancel, endpoint.CancelRequest{AttemptID: attemptID}, nil)
}

// KVExport implements port.Engine.
func (c *Client) KVExport(ctx context.Context, baseURL, attemptID string) (endpoint.KVHandle, error) {
	var handle endpoint.KVHandle
	err := c.call(ctx, baseURL, endpoint.PathKVExport, endpoint.KVExportRequest{AttemptID: attemptID}, &handle)
	return handle, err
}

// KVImport implements port.Engine. It takes as long as the transfer; the
// context bounds it.
func (c *Client) KVImport(ctx context.Context, baseURL string, req endpoint.KVImportRequest) error {
	return c.exchange(ctx, baseURL, endpoint.PathKVImport, req, nil)
}

// Order implements port.Engine.
func (c *Client) Order(ctx context.Context, baseURL string, order endpoint.Order) (endpoint.OrderResult, error) {
	var result endpoint.OrderResult
	err := c.call(ctx, baseURL, endpoint.PathOrder, order, &result)
	return result, err
}

// call is an exchange with the default time bound.
func (c *Client) call(ctx context.Context, baseURL, path string, body, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, c.options.callTimeout)
	defer cancel()
	return c.exchange(ctx, baseURL, path, body, answer)
}

func (c *Client) exchange(ctx context.Context, baseURL, path string, body, answer any) error {
	r, err := c.post(ctx, baseURL, path, body, 0)
	if err != nil {
		return err
	}
	defer r.body.Close()
	if answer == nil {
		_, _ = io.Copy(io.Discard, r.body)
		return nil
	}
	if err := json.NewDecoder(r.body).Decode(answer); err != nil {
		return &port.TransportError{Sent: true, Err: err}
	}
	_, _ = io.Copy(io.Discard, r.body)
	return nil
}

// reply is a successful answer with the connection that carries it.
type reply struct {
	body io.ReadCloser
	use  *httpconn.Use
	pool *httpconn.Pool
}

// post sends a JSON body and returns the answer if its status is a success.
// The first byte of the answer must arrive within a time, unless that is 0.
func (c *Client) post(ctx context.Context, baseURL, path string, body any, first time.Duration) (*reply, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, eris.Wrap(err, "encode request to endpoint")
	}
	for repeat := 0; ; repeat++ {
		r, err := c.send(ctx, baseURL, path, data, first)
		var failed *sendError
		if !errors.As(err, &failed) {
			return r, err
		}
		// The peer had closed the pooled connection, and perhaps all others with it.
		if failed.stale && repeat < unsentRetries && ctx.Err() == nil {
			failed.pool.CloseIdle()
			continue
		}
		return nil, &failed.TransportError
	}
}

// sendError is a failed round trip.
type sendError struct {
	port.TransportError
	pool *httpconn.Pool
	// stale is set when a pooled connection was closed before any byte was written.
	stale bool
}

// send makes one round trip.
func (c *Client) send(ctx context.Context, baseURL, path string, data []byte, first time.Duration) (*reply, error) {
	ctx, use := httpconn.Track(ctx, first)
	// A body without GetBody is not replayed by net/http on a reused connection.
	body := io.NopCloser(bytes.NewReader(data))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, baseURL+path, body)
	if err != nil {
		return nil, eris.Wrap(err, "build request to endpoint")
	}
	req.ContentLength = int64(len(data))
	req.Header.Set("Content-Type", "application/json")
	c.options.headers(ctx, req.Header)
	if c.options.controller != "" && path == endpoint.PathOrder {
		req.Header.Set(endpoint.HeaderController, c.options.controller)
	}
	pool := c.pools.Get(baseURL, time.Now())
	resp, err := pool.Client.Do(req)
	if err != nil {
		return nil, c.failure(baseURL, pool, use, err)
	}
	if resp.StatusCode/100 == 2 {
		return &reply{body: resp.Body, use: use, pool: pool}, nil
	}
	defer resp.Body.Close()
	return nil, refusal(resp)
}

// failure classifies a failed round trip and looks after the pool of an
// endpoint that did not answer.
func (c *Client) failure(baseURL string, pool *httpconn.Pool, use *httpconn.Use, err error) *sendError {
	failed := &sendError{pool: pool}
	failed.Err = notEOF(err)
	failed.Sent = use.Sent()
	failed.Silent = failed.Sent && (use.Silent() || errors.Is(err, context.DeadlineExceeded))
	failed.stale = !failed.Sent && use.Reused()
	if failed.Silent {
		c.suspect(baseURL, pool)
	}
	return failed
}

// notEOF keeps a broken connection from being taken for the end of a stream:
// port.FrameStream promises io.EOF after the last frame only.
func notEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return eris.Wrap(io.ErrUnexpectedEOF, err.Error())
	}
	return err
}

// refusal reads the typed body of an error answer. Without one it is not
// known whether the request ran.
func refusal(resp *http.Response) error {
	refused := &port.RefusedError{Status: resp.StatusCode}
	err := json.NewDecoder(io.LimitReader(resp.Body, maxErrorBodyBytes)).Decode(&refused.Body)
	if err != nil || refused.Body.Run != endpoint.NotRun {
		refused.Body.Run = endpoint.RunUnknown
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxErrorBodyBytes))
	return refused
}
