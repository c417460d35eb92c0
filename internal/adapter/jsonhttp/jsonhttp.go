// Package jsonhttp makes JSON calls over HTTP for the thin adapters.
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

// maxBodyBytes bounds an answer.
const maxBodyBytes = 16 << 20

// Client makes calls to one server.
type Client struct {
	baseURL string
	http    *http.Client
}

// NewClient returns a client for the server with the given base URL.
func NewClient(baseURL string) *Client {
	return &Client{baseURL: baseURL, http: &http.Client{Transport: httpconn.NewTransport(httpconn.Options{})}}
}

// Answer is the answer to a call.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Decode reads the JSON body of a successful answer.
func (a *Answer) Decode(into any) error {
	if err := json.Unmarshal(a.Body, into); err != nil {
		return &port.TransportError{Sent: true, Err: err}
	}
	return nil
}

// Success reports whether the status is a success.
func (a *Answer) Success() bool { return a.Status/100 == 2 }

// Do makes a call with an optional JSON body and reads the whole answer. A
// failure of the connection is a *port.TransportError.
func (c *Client) Do(ctx context.Context, method, path string, body any) (*Answer, error) {
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
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes))
	if err != nil {
		return nil, &port.TransportError{Sent: true, Err: err}
	}
	return &Answer{Status: resp.StatusCode, Header: resp.Header, Body: data}, nil
}
