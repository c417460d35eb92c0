package enginehttp

import (
	"context"
	"net/http"
	"time"

	"github.com/boragelead/boragelead/api/endpoint"
	"github.com/boragelead/boragelead/internal/adapter/httpconn"
	"github.com/boragelead/boragelead/internal/port"
)

// suspect starts a check of an engine that stopped responding on one of its
// connections.
func (c *Client) suspect(baseURL string, pool *httpconn.Pool) {
	c.pools.Suspect(baseURL, pool, func() bool { return c.Ping(context.Background(), baseURL) == nil })
}

var _ port.SilenceChecker = (*Client)(nil)

// CheckSilent implements port.SilenceChecker. Running streams are not ended.
func (c *Client) CheckSilent(baseURL string) {
	c.suspect(baseURL, c.pools.Get(baseURL, time.Now()))
}

// Ping checks whether an engine responds on a new connection.
func (c *Client) Ping(ctx context.Context, baseURL string) error {
	ctx, cancel := context.WithTimeout(ctx, c.options.probeTimeout)
	defer cancel()
	transport := httpconn.NewTransport(c.options.conn)
	transport.DisableKeepAlives = true
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, baseURL+endpoint.PathPing, nil)
	if err != nil {
		return err
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}
