// Package jsonhttp makes JSON calls over HTTP for adapters such as cloudhttp and
// weighthttp.
package jsonhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/boragelead/boragelead/internal/adapter/httpconn"
	"github.com/boragelead/boragelead/internal/port"
)

// maxBodyBytes limits the body of a response. A longer body is truncated.
const maxBodyBytes = 16 << 20

// Client makes calls to one base URL.
type Client struct {
	baseURL string
	http    *http.Client
}

// NewClient returns a client for the given base URL.
func NewClient(baseURL string) *Client {
	return &Client{baseURL: baseURL, http: &http.Client{Transport: httpconn.NewTransport(httpconn.Options{})}}
}

// Response is a complete response to a call.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Decode decodes the JSON body of a successful response.
func (r *Response) Decode(result any) error {
	if err := json.Unmarshal(r.Body, result); err != nil {
		return &port.TransportError{Sent: true, Err: err}
	}
	return nil
}

// Success reports whether the status is in the range 200 to 299.
func (r *Response) Success() bool { return r.Status/100 == 2 }

// Do makes a call with an optional JSON body and reads the complete response. If the
// connection fails or the response is malformed, the error is a *port.TransportError.
func (c *Client) Do(ctx context.Context, method, path string, body any) (*Response, error) {
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return nil, eris.Wrap(err, "encode request")
		}
		reader = bytes.NewReader(data)
	}
	ctx, use := httpconn.Track(ctx, 0)
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, reader)
	if err != nil {
		return nil, eris.Wrap(err, "build request")
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, &port.TransportError{Sent: use.Sent(), Err: err}
	}
	defer resp.Body.Close()
	if err := httpconn.CheckStatus(resp.StatusCode); err != nil {
		return nil, &port.TransportError{Sent: true, Err: err}
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes))
	if err != nil {
		return nil, &port.TransportError{Sent: true, Err: err}
	}
	return &Response{Status: resp.StatusCode, Header: resp.Header, Body: data}, nil
}
