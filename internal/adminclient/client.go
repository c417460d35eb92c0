package adminclient

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/boragelead/boragelead/internal/adapter/httpconn"
	"github.com/boragelead/boragelead/internal/status"
	"github.com/boragelead/boragelead/internal/telemetry"
)

// maxResponseBytes limits the body of a response. The status of 370 daemons and
// 2,300 endpoints has about 1 MB.
const maxResponseBytes = 64 << 20

// Options configure a client.
type Options struct {
	// Address is the address of the daemon: IP:port, or a URL that begins with
	// http:// or https://.
	Address string
	// Key is the operators' key.
	Key string
	// Operator is the name of the operator that the history and conflict errors show.
	Operator string
	// TLS, if not nil, is the configuration for TLS. An Address without a scheme
	// then means https.
	TLS *tls.Config
	// Timeout limits one request; 0 means that only the context limits it.
	Timeout time.Duration
}

// Client sends requests to one daemon. It is safe for concurrent use.
type Client struct {
	options Options
	baseURL string
	http    *http.Client
}

// New returns a client. It does not connect.
func New(options Options) *Client {
	baseURL := options.Address
	if !strings.Contains(baseURL, "://") {
		scheme := "http://"
		if options.TLS != nil {
			scheme = "https://"
		}
		baseURL = scheme + baseURL
	}
	transport := &http.Transport{TLSClientConfig: options.TLS}
	return &Client{options: options, baseURL: strings.TrimRight(baseURL, "/"), http: &http.Client{Transport: transport, Timeout: options.Timeout}}
}

// Config returns the current configuration.
func (c *Client) Config(ctx context.Context) (status.Config, error) {
	return doRequest[status.Config](ctx, c, http.MethodGet, status.PathConfig, nil, nil)
}

// Promotion is a document to promote.
type Promotion struct {
	Document []byte
	// ETag identifies the generation to replace. It is empty if there is none yet.
	ETag string
	// OperationID identifies the promotion. A resend of a promotion has the same ID.
	OperationID string
}

// Promote promotes a document. After an UnreachableError, or a no_quorum error
// that may take effect, the caller can send the same promotion again: it takes
// effect at most once.
func (c *Client) Promote(ctx context.Context, p Promotion) (status.Config, error) {
	header := http.Header{status.HeaderOperationID: {p.OperationID}}
	if p.ETag == "" {
		header.Set("If-None-Match", "*")
	} else {
		header.Set("If-Match", p.ETag)
	}
	return doRequest[status.Config](ctx, c, http.MethodPut, status.PathConfig, header, p.Document)
}

// History returns up to limit generations, the newest first, with their documents
// if documents is true.
func (c *Client) History(ctx context.Context, limit int, documents bool) ([]status.Config, error) {
	path := fmt.Sprintf("%s?limit=%d&documents=%t", status.PathHistory, limit, documents)
	return doRequest[[]status.Config](ctx, c, http.MethodGet, path, nil, nil)
}

// Status returns the daemon's view of the system.
func (c *Client) Status(ctx context.Context) (status.Status, error) {
	return doRequest[status.Status](ctx, c, http.MethodGet, status.PathStatus, nil, nil)
}

// Drain starts a graceful shutdown of the daemon.
func (c *Client) Drain(ctx context.Context) (status.Drain, error) {
	return doRequest[status.Drain](ctx, c, http.MethodPost, status.PathDrain, nil, nil)
}

// Explain returns the daemon's record of a request.
func (c *Client) Explain(ctx context.Context, requestID string) (telemetry.Explanation, error) {
	return doRequest[telemetry.Explanation](ctx, c, http.MethodGet, status.PathExplain+url.PathEscape(requestID), nil, nil)
}

// Fleet returns the fleet plan of the controller.
func (c *Client) Fleet(ctx context.Context) (status.Fleet, error) {
	return doRequest[status.Fleet](ctx, c, http.MethodGet, status.PathFleet, nil, nil)
}

func doRequest[T any](ctx context.Context, c *Client, method, path string, header http.Header, body []byte) (T, error) {
	var result T
	request, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return result, &UnreachableError{Address: c.baseURL, Err: err}
	}
	for name, values := range header {
		request.Header[name] = values
	}
	request.Header.Set("Authorization", "Bearer "+c.options.Key)
	if c.options.Operator != "" {
		request.Header.Set(status.HeaderOperator, c.options.Operator)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return result, &UnreachableError{Address: c.baseURL, Err: unwrapURLError(err)}
	}
	defer func() { _ = response.Body.Close() }()
	if err := httpconn.CheckStatus(response.StatusCode); err != nil {
		return result, &UnreachableError{Address: c.baseURL, Err: err}
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return result, &UnreachableError{Address: c.baseURL, Err: err}
	}
	if response.StatusCode != http.StatusOK {
		return result, responseError(response, data)
	}
	if err := json.Unmarshal(data, &result); err != nil {
		return result, &UnreachableError{Address: c.baseURL, Err: err}
	}
	return result, nil
}

// unwrapURLError removes the URL that http.Client adds to an error, because
// UnreachableError contains the address already.
func unwrapURLError(err error) error {
	var wrapped *url.Error
	if errors.As(err, &wrapped) {
		return wrapped.Err
	}
	return err
}

func responseError(response *http.Response, data []byte) error {
	var body status.ErrorBody
	if err := json.Unmarshal(data, &body); err != nil || body.Error.Code == "" {
		body.Error = status.ErrorDetail{Code: status.CodeInternal, Message: "the answer is not from a boragelead daemon"}
	}
	return &Error{Status: response.StatusCode, Detail: body.Error}
}
