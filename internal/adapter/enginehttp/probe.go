package enginehttp

import (
	"context"
	"net/http"

	"github.com/boragelead/boragelead/api/endpoint"
	"github.com/boragelead/boragelead/internal/adapter/httpconn"
)

// suspect checks an engine of which a connection went silent.
func (c *Client) suspect(baseURL string, pool *httpconn.Pool) {
	c.pools.Suspect(baseURL, pool, func() bool { return c.probe(baseURL) == nil })
}

// probe pings an engine on a connection of its own.
func (c *Client) probe(baseURL string) error {
	ctx, cancel := context.WithTimeout(context.Background(), c.options.probeTimeout)
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
