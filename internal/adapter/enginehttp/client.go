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
	// maxErrorBodyBytes limits how much is read of an error response.
	maxErrorBodyBytes = 64 << 10
	// maxAnswerBytes limits how much is read of a response that is not a stream.
	maxAnswerBytes = 1 << 20
	// unsentRetries is how often a request is retried when the peer had closed
	// the pooled connection before any byte was written.
	unsentRetries = 1
)

// Client calls model engines. It implements port.Engine and is safe for
// concurrent use.
type Client struct {
	options options
	pools   *httpconn.Pools
}

// NewClient returns a client with one connection pool per endpoint.
func NewClient(opts ...Option) *Client {
	o := newOptions(opts)
	return &Client{options: o, pools: httpconn.NewPools(o.conn, o.onPoolReplaced)}
}

// Close closes the idle connections of all pools. Running streams continue.
func (c *Client) Close() { c.pools.CloseIdle() }

// Forget removes the connection pool of an endpoint that no longer exists.
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

// KVImport implements port.Engine. It returns when the transfer is complete.
// Only the context limits its duration.
func (c *Client) KVImport(ctx context.Context, baseURL string, req endpoint.KVImportRequest) error {
	return c.roundTrip(ctx, baseURL, endpoint.PathKVImport, req, nil)
}

// Order implements port.Engine.
func (c *Client) Order(ctx context.Context, baseURL string, order endpoint.Order) (endpoint.OrderResult, error) {
	var result endpoint.OrderResult
	err := c.call(ctx, baseURL, endpoint.PathOrder, order, &result)
	return result, err
}

// call is a roundTrip that is limited to the call timeout.
func (c *Client) call(ctx context.Context, baseURL, path string, body, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, c.options.callTimeout)
	defer cancel()
	return c.roundTrip(ctx, baseURL, path, body, answer)
}

// roundTrip sends a request and decodes the response into answer, unless that is nil.
func (c *Client) roundTrip(ctx context.Context, baseURL, path string, body, answer any) error {
	r, err := c.post(ctx, baseURL, path, body, 0)
	if err != nil {
		return err
	}
	defer r.body.Close()
	// Closing a body that was not read to its end closes the connection.
	limited := io.LimitReader(r.body, maxAnswerBytes)
	if answer != nil {
		if err := json.NewDecoder(limited).Decode(answer); err != nil {
			return &port.TransportError{Sent: true, Err: err}
		}
	}
	_, _ = io.Copy(io.Discard, limited)
	return nil
}

// reply is a successful response together with its connection and pool.
type reply struct {
	body io.ReadCloser
	use  *httpconn.Use
	pool *httpconn.Pool
}

// post sends a JSON body and returns the response if its status is 2xx. The
// first byte of the response must arrive within firstByteTimeout; 0 means no limit.
func (c *Client) post(ctx context.Context, baseURL, path string, body any, firstByteTimeout time.Duration) (*reply, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, eris.Wrap(err, "encode request to endpoint")
	}
	for retry := 0; ; retry++ {
		r, err := c.send(ctx, baseURL, path, data, firstByteTimeout)
		var sendErr *sendError
		if !errors.As(err, &sendErr) {
			return r, err
		}
		// The peer had closed the pooled connection and may have closed the
		// other idle ones as well, so all of them are closed before the retry.
		if sendErr.stale && retry < unsentRetries && ctx.Err() == nil {
			sendErr.pool.CloseIdle()
			continue
		}
		return nil, &sendErr.TransportError
	}
}

// sendError is the error of a failed round trip.
type sendError struct {
	port.TransportError
	pool *httpconn.Pool
	// stale is set when the peer had closed a pooled connection before any byte
	// was written.
	stale bool
}

// send makes one HTTP round trip. It returns a *sendError if no response arrived.
func (c *Client) send(ctx context.Context, baseURL, path string, data []byte, firstByteTimeout time.Duration) (*reply, error) {
	ctx, use := httpconn.Track(ctx, firstByteTimeout)
	// net/http does not replay a request without GetBody on another connection.
	body := io.NopCloser(bytes.NewReader(data))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, baseURL+path, body)
	if err != nil {
		return nil, eris.Wrap(err, "build request to endpoint")
	}
	req.ContentLength = int64(len(data))
	req.Header.Set("Content-Type", "application/json")
	c.options.injectHeaders(ctx, req.Header)
	if c.options.controllerToken != "" && path == endpoint.PathOrder {
		req.Header.Set(endpoint.HeaderController, c.options.controllerToken)
	}
	pool := c.pools.Get(baseURL, time.Now())
	resp, err := pool.Client.Do(req)
	if err != nil {
		return nil, c.classifyFailure(baseURL, pool, use, err)
	}
	if resp.StatusCode/100 == 2 {
		return &reply{body: resp.Body, use: use, pool: pool}, nil
	}
	defer resp.Body.Close()
	if err := httpconn.CheckStatus(resp.StatusCode); err != nil {
		return nil, &port.TransportError{Sent: true, Err: err}
	}
	return nil, readRefusal(resp)
}

// classifyFailure returns the error of a failed round trip. If the endpoint did
// not answer in time, it also starts a check of the endpoint's connection pool.
func (c *Client) classifyFailure(baseURL string, pool *httpconn.Pool, use *httpconn.Use, err error) *sendError {
	sendErr := &sendError{pool: pool}
	sendErr.Err = replaceEOF(err)
	sendErr.Sent = use.Sent()
	sendErr.Silent = sendErr.Sent && (use.Silent() || errors.Is(err, context.DeadlineExceeded))
	sendErr.stale = !sendErr.Sent && use.Reused()
	if sendErr.Silent {
		c.suspect(baseURL, pool)
	}
	return sendErr
}

// replaceEOF replaces io.EOF with io.ErrUnexpectedEOF, so that a broken connection
// is not mistaken for the end of a stream: port.FrameStream returns io.EOF only
// after the last frame. An eris error matches each error whose text is its message,
// so the message must not be that of io.EOF.
func replaceEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return eris.Wrapf(io.ErrUnexpectedEOF, "connection to endpoint ended: %v", err)
	}
	return err
}

// readRefusal reads the body of an error response. Unless the body says not_run,
// it is unknown whether the request ran.
func readRefusal(resp *http.Response) error {
	refused := &port.RefusedError{Status: resp.StatusCode}
	err := json.NewDecoder(io.LimitReader(resp.Body, maxErrorBodyBytes)).Decode(&refused.Body)
	if err != nil || refused.Body.Run != endpoint.NotRun {
		refused.Body.Run = endpoint.RunUnknown
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxErrorBodyBytes))
	return refused
}
