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

	"github.com/boragelead/boragelead/internal/status"
	"github.com/boragelead/boragelead/internal/telemetry"
)

// maxAnswerBytes bounds an answer: the status of 370 daemons and 2,300 endpoints has about 1 MB.
const maxAnswerBytes = 64 << 20

// Options configure a client.
type Options struct {
	// Address is IP:port, or a URL that begins with http:// or https://.
	Address string
	// Key is the operators' key.
	Key string
	// Operator names the person in histories and conflicts.
	Operator string
	// TLS, when set, makes the client use TLS.
	TLS *tls.Config
	// Timeout bounds one request; 0 means no bound but that of the context.
	Timeout time.Duration
}

// Client asks one daemon. It is safe for concurrent use.
type Client struct {
	options Options
	base    string
	http    *http.Client
}

// New returns a client. It does not connect.
func New(options Options) *Client {
	base := options.Address
	if !strings.Contains(base, "://") {
		scheme := "http://"
		if options.TLS != nil {
			scheme = "https://"
		}
		base = scheme + base
	}
	transport := &http.Transport{TLSClientConfig: options.TLS}
	return &Client{options: options, base: strings.TrimRight(base, "/"), http: &http.Client{Transport: transport, Timeout: options.Timeout}}
}

// Config returns the current configuration.
func (c *Client) Config(ctx context.Context) (status.Config, error) {
	return call[status.Config](ctx, c, http.MethodGet, status.PathConfig, nil, nil)
}

// Promotion is a document to be put in force.
type Promotion struct {
	Document []byte
	// ETag names the generation to replace; empty means that there is none yet.
	ETag string
	// OperationID is the same in a resend, and differs otherwise.
	OperationID string
}

// Promote puts a document in force. After an UnreachableError, or a no_quorum
// error that may take effect, the same promotion can be sent again: it takes
// effect at most once.
func (c *Client) Promote(ctx context.Context, p Promotion) (status.Config, error) {
	header := http.Header{status.HeaderOperationID: {p.OperationID}}
	if p.ETag == "" {
		header.Set("If-None-Match", "*")
	} else {
		header.Set("If-Match", p.ETag)
	}
	return call[status.Config](ctx, c, http.MethodPut, status.PathConfig, header, p.Document)
}

// History returns the newest generations first.
func (c *Client) History(ctx context.Context, limit int, documents bool) ([]status.Config, error) {
	path := fmt.Sprintf("%s?limit=%d&documents=%t", status.PathHistory, limit, documents)
	return call[[]status.Config](ctx, c, http.MethodGet, path, nil, nil)
}

// Status returns the daemon's view of the system.
func (c *Client) Status(ctx context.Context) (status.Status, error) {
	return call[status.Status](ctx, c, http.MethodGet, status.PathStatus, nil, nil)
}

// Drain starts a graceful shutdown of the daemon.
func (c *Client) Drain(ctx context.Context) (status.Drain, error) {
	return call[status.Drain](ctx, c, http.MethodPost, status.PathDrain, nil, nil)
}

// Explain returns the record of a request.
func (c *Client) Explain(ctx context.Context, requestID string) (telemetry.Explanation, error) {
	return call[telemetry.Explanation](ctx, c, http.MethodGet, status.PathExplain+url.PathEscape(requestID), nil, nil)
}

// Fleet returns the plan of the controller.
func (c *Client) Fleet(ctx context.Context) (status.Fleet, error) {
	return call[status.Fleet](ctx, c, http.MethodGet, status.PathFleet, nil, nil)
}

func call[T any](ctx context.Context, c *Client, method, path string, header http.Header, body []byte) (T, error) {
	var answer T
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return answer, &UnreachableError{Address: c.base, Err: err}
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
		return answer, &UnreachableError{Address: c.base, Err: withoutURL(err)}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return answer, &UnreachableError{Address: c.base, Err: err}
	}
	if response.StatusCode != http.StatusOK {
		return answer, failure(response, data)
	}
	if err := json.Unmarshal(data, &answer); err != nil {
		return answer, &UnreachableError{Address: c.base, Err: err}
	}
	return answer, nil
}

// withoutURL drops the URL that http.Client puts before the cause, because
// UnreachableError names the address already.
func withoutURL(err error) error {
	var wrapped *url.Error
	if errors.As(err, &wrapped) {
		return wrapped.Err
	}
	return err
}

func failure(response *http.Response, data []byte) error {
	var body status.ErrorBody
	if err := json.Unmarshal(data, &body); err != nil || body.Error.Code == "" {
		body.Error = status.ErrorDetail{Code: status.CodeInternal, Message: "the answer is not from a boragelead daemon"}
	}
	return &Error{Status: response.StatusCode, Detail: body.Error}
}
