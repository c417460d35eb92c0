// Package cloudhttp calls the cloud API.
package cloudhttp

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/boragelead/boragelead/api/cloud"
	"github.com/boragelead/boragelead/internal/adapter/jsonhttp"
	"github.com/boragelead/boragelead/internal/port"
)

const (
	// callTimeout bounds the time of a call other than a long poll.
	callTimeout = 10 * time.Second
	// pollMargin is added to the wait time of a long poll to get its timeout.
	pollMargin = 5 * time.Second
)

// Client implements port.Cloud.
type Client struct{ api *jsonhttp.Client }

// NewClient returns a client for the cloud API with the given base URL.
func NewClient(baseURL string) *Client { return &Client{api: jsonhttp.NewClient(baseURL)} }

// Prices implements port.Cloud.
func (c *Client) Prices(ctx context.Context) ([]cloud.Price, error) {
	var list cloud.PriceList
	err := c.call(ctx, callTimeout, http.MethodGet, cloud.PathPrices, nil, &list)
	return list.Prices, err
}

// StartVM implements port.Cloud.
func (c *Client) StartVM(ctx context.Context, req cloud.StartRequest) (cloud.VM, error) {
	var vm cloud.VM
	err := c.call(ctx, callTimeout, http.MethodPost, cloud.PathVMs, req, &vm)
	return vm, err
}

// StopVM implements port.Cloud.
func (c *Client) StopVM(ctx context.Context, id string) error {
	return c.call(ctx, callTimeout, http.MethodDelete, cloud.PathVMs+"/"+url.PathEscape(id), nil, nil)
}

// ListVMs implements port.Cloud.
func (c *Client) ListVMs(ctx context.Context) ([]cloud.VM, error) {
	var list cloud.VMList
	err := c.call(ctx, callTimeout, http.MethodGet, cloud.PathVMs, nil, &list)
	return list.VMs, err
}

// Notices implements port.Cloud.
func (c *Client) Notices(ctx context.Context, after uint64, wait time.Duration) (cloud.NoticeList, error) {
	query := url.Values{
		"after":   {strconv.FormatUint(after, 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	var list cloud.NoticeList
	err := c.call(ctx, wait+pollMargin, http.MethodGet, cloud.PathNotices+"?"+query.Encode(), nil, &list)
	return list, err
}

func (c *Client) call(ctx context.Context, timeout time.Duration, method, path string, body, result any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	resp, err := c.api.Do(ctx, method, path, body)
	if err != nil {
		return err
	}
	if !resp.Success() {
		refused := &port.CloudRefusedError{Status: resp.Status}
		_ = json.Unmarshal(resp.Body, &refused.Body)
		return refused
	}
	if result == nil {
		return nil
	}
	return resp.Decode(result)
}
