package enginehttp

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"github.com/boragelead/boragelead/api/endpoint"
	"github.com/boragelead/boragelead/internal/port"
)

const (
	// frameBufferBytes is the size of the read buffer of one stream.
	frameBufferBytes = 4096
	// maxErrorBodyBytes bounds what is read of a refusal.
	maxErrorBodyBytes = 64 << 10
)

// Client calls model engines. It implements port.Engine.
type Client struct {
	http *http.Client
}

// NewClient returns a client that sends requests over the given transport.
func NewClient(transport http.RoundTripper) *Client {
	return &Client{http: &http.Client{Transport: transport}}
}

// Generate implements port.Engine.
func (c *Client) Generate(ctx context.Context, baseURL string, req *endpoint.GenerateRequest) (port.FrameStream, error) {
	resp, err := c.post(ctx, baseURL+endpoint.PathGenerate, req)
	if err != nil {
		return nil, err
	}
	return newFrameStream(resp.Body), nil
}

// Cancel implements port.Engine.
func (c *Client) Cancel(ctx context.Context, baseURL, attemptID string) error {
	return c.call(ctx, baseURL+endpoint.PathCancel, endpoint.CancelRequest{AttemptID: attemptID}, nil)
}

// KVExport implements port.Engine.
func (c *Client) KVExport(ctx context.Context, baseURL, attemptID string) (endpoint.KVHandle, error) {
	var handle endpoint.KVHandle
	err := c.call(ctx, baseURL+endpoint.PathKVExport, endpoint.KVExportRequest{AttemptID: attemptID}, &handle)
	return handle, err
}

// KVImport implements port.Engine.
func (c *Client) KVImport(ctx context.Context, baseURL string, req endpoint.KVImportRequest) error {
	return c.call(ctx, baseURL+endpoint.PathKVImport, req, nil)
}

// Order implements port.Engine.
func (c *Client) Order(ctx context.Context, baseURL string, order endpoint.Order) (endpoint.OrderResult, error) {
	var result endpoint.OrderResult
	err := c.call(ctx, baseURL+endpoint.PathOrder, order, &result)
	return result, err
}

func (c *Client) call(ctx context.Context, url string, body, answer any) error {
	resp, err := c.post(ctx, url, body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if answer == nil {
		_, _ = io.Copy(io.Discard, resp.Body)
		return nil
	}
	if err := json.NewDecoder(resp.Body).Decode(answer); err != nil {
		return &port.TransportError{Sent: true, Err: err}
	}
	return nil
}

// post sends a JSON body and returns the answer if its status is a success.
func (c *Client) post(ctx context.Context, url string, body any) (*http.Response, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, eris.Wrap(err, "encode request to endpoint")
	}
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{WroteHeaders: func() { sent.Store(true) }}
	// The transport writes through a buffer: a byte can only have left after a connection was obtained.
	trace.GotConn = func(httptrace.GotConnInfo) { sent.Store(true) }
	// A body without GetBody is not replayed by net/http on a reused connection.
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, url, io.NopCloser(bytes.NewReader(data)))
	if err != nil {
		return nil, eris.Wrap(err, "build request to endpoint")
	}
	req.ContentLength = int64(len(data))
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, &port.TransportError{Sent: sent.Load(), Err: err}
	}
	if resp.StatusCode/100 == 2 {
		return resp, nil
	}
	defer resp.Body.Close()
	return nil, refusal(resp)
}

// refusal reads the typed body of an error answer. Without one it is not
// known whether the request ran.
func refusal(resp *http.Response) error {
	refused := &port.RefusedError{Status: resp.StatusCode}
	err := json.NewDecoder(io.LimitReader(resp.Body, maxErrorBodyBytes)).Decode(&refused.Body)
	if err != nil || refused.Body.Run == "" {
		refused.Body.Run = endpoint.RunUnknown
	}
	return refused
}

type frameStream struct {
	body    io.ReadCloser
	scanner *bufio.Reader
	ended   bool
}

func newFrameStream(body io.ReadCloser) *frameStream {
	return &frameStream{body: body, scanner: bufio.NewReaderSize(body, frameBufferBytes)}
}

// Next implements port.FrameStream.
func (s *frameStream) Next(frame *endpoint.Frame) error {
	if s.ended {
		return io.EOF
	}
	line, err := s.scanner.ReadBytes('\n')
	if err != nil {
		return &port.TransportError{Sent: true, Err: unexpected(err)}
	}
	*frame = endpoint.Frame{}
	if err := json.Unmarshal(line, frame); err != nil {
		return &port.TransportError{Sent: true, Err: err}
	}
	s.ended = frame.Type == endpoint.FrameDone
	return nil
}

// Close implements port.FrameStream.
func (s *frameStream) Close() error { return s.body.Close() }

func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
