// Package weighthttp asks the weight store what loading weights will take.
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

// callTimeout bounds a call.
const callTimeout = 5 * time.Second

// Client implements port.WeightStore.
type Client struct{ json *jsonhttp.Client }

// NewClient returns a client for the weight store with the given base URL.
func NewClient(baseURL string) *Client { return &Client{json: jsonhttp.NewClient(baseURL)} }

// Object implements port.WeightStore.
func (c *Client) Object(ctx context.Context, name string) (weights.Object, error) {
	answer, err := c.call(ctx, http.MethodHead, weights.PathObjects+"/"+url.PathEscape(name))
	if err != nil {
		return weights.Object{}, err
	}
	bytes, err := strconv.ParseInt(answer.Header.Get(weights.HeaderBytes), 10, 64)
	if err != nil {
		return weights.Object{}, &port.TransportError{Sent: true, Err: err}
	}
	return weights.Object{Name: name, Bytes: bytes}, nil
}

// Status implements port.WeightStore.
func (c *Client) Status(ctx context.Context) (weights.Status, error) {
	var status weights.Status
	answer, err := c.call(ctx, http.MethodGet, weights.PathStatus)
	if err != nil {
		return status, err
	}
	return status, answer.Decode(&status)
}

func (c *Client) call(ctx context.Context, method, path string) (*jsonhttp.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := c.json.Do(ctx, method, path, nil)
	if err != nil {
		return nil, err
	}
	if !answer.Success() {
		return nil, &port.WeightStoreError{Status: answer.Status}
	}
	return answer, nil
}
