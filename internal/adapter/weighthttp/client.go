// Package weighthttp asks the weight store for the sizes of weights and for its load,
// from which the time to load weights is estimated.
package weighthttp

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/boragelead/boragelead/api/weights"
	"github.com/boragelead/boragelead/internal/adapter/jsonhttp"
	"github.com/boragelead/boragelead/internal/port"
)

// callTimeout bounds the time of a call.
const callTimeout = 5 * time.Second

// Client implements port.WeightStore.
type Client struct{ api *jsonhttp.Client }

// NewClient returns a client for the weight store with the given base URL.
func NewClient(baseURL string) *Client { return &Client{api: jsonhttp.NewClient(baseURL)} }

// Object implements port.WeightStore.
func (c *Client) Object(ctx context.Context, name string) (weights.Object, error) {
	resp, err := c.call(ctx, http.MethodHead, weights.PathObjects+"/"+url.PathEscape(name))
	if err != nil {
		return weights.Object{}, err
	}
	sizeBytes, err := strconv.ParseInt(resp.Header.Get(weights.HeaderBytes), 10, 64)
	if err != nil {
		return weights.Object{}, &port.TransportError{Sent: true, Err: err}
	}
	return weights.Object{Name: name, Bytes: sizeBytes}, nil
}

// Status implements port.WeightStore.
func (c *Client) Status(ctx context.Context) (weights.Status, error) {
	var status weights.Status
	resp, err := c.call(ctx, http.MethodGet, weights.PathStatus)
	if err != nil {
		return status, err
	}
	return status, resp.Decode(&status)
}

func (c *Client) call(ctx context.Context, method, path string) (*jsonhttp.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := c.api.Do(ctx, method, path, nil)
	if err != nil {
		return nil, err
	}
	if !resp.Success() {
		return nil, &port.WeightStoreError{Status: resp.Status}
	}
	return resp, nil
}
