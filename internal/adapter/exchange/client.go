package exchange

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/boragelead/boragelead/internal/adapter/httpconn"
	"github.com/boragelead/boragelead/internal/port"
)

// concurrentWriteBytes is the size from which a request is written concurrently
// with reading its answer. An endpoint may answer before it has read all of a long
// request, and may then read the rest late or never.
const concurrentWriteBytes = 16 << 10

// Options configures a Client.
type Options struct {
	Conn httpconn.Options
	// IdleTimeout is how long an unused connection stays in the pool. A shorter
	// timeout that the endpoint announces takes precedence.
	IdleTimeout time.Duration
}

// Client sends requests over pooled connections. It is safe for concurrent use.
type Client struct {
	dialer *net.Dialer
	pool   *pool
}

// New returns a client without connections.
func New(options Options) *Client {
	return &Client{dialer: httpconn.NewDialer(options.Conn), pool: newPool(options.IdleTimeout)}
}

// Request is an HTTP request as it is sent.
type Request struct {
	Method string
	// Target is the request target, exactly as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Fresh requests the use of a new connection, and KeptOnly that of a kept one: the error
	// is then ErrNoKeptConnection if there is none.
	Fresh, KeptOnly bool
	// BeforeSend is called once a connection is established; nil means not at all. If it
	// fails, nothing is sent.
	BeforeSend func() error
}

// ErrNoKeptConnection reports that no usable connection to the address is kept.
var ErrNoKeptConnection = errors.New("no kept connection")

// Do sends a request to an address (IP:port) and returns its answer, of which only
// the status line and header were read. The answer must be closed. The error is a
// *port.TransportError. The connection is reset when the context ends.
func (c *Client) Do(ctx context.Context, address string, req *Request) (*Answer, error) {
	conn, err := c.connect(ctx, address, req)
	if err != nil {
		return nil, &port.TransportError{Err: err, Silent: isTimeout(err)}
	}
	if req.BeforeSend != nil {
		if err := req.BeforeSend(); err != nil {
			conn.abort()
			return nil, &port.TransportError{Err: err}
		}
	}
	stop := context.AfterFunc(ctx, conn.abort)
	answer, err := conn.roundTrip(req)
	if err != nil {
		stop()
		conn.abort()
		return nil, &port.TransportError{Sent: conn.sendStarted.Load(), Silent: isTimeout(err), Err: err}
	}
	answer.pool = c.pool
	answer.address = address
	answer.stop = stop
	return answer, nil
}

// Probe checks whether a new connection can be established, and adds it to the pool.
func (c *Client) Probe(ctx context.Context, address string) error {
	raw, err := c.dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return err
	}
	c.pool.put(address, newConn(raw), 0, time.Now())
	return nil
}

func (c *Client) connect(ctx context.Context, address string, req *Request) (*conn, error) {
	if !req.Fresh {
		if pooled := c.pool.get(address, time.Now()); pooled != nil {
			return pooled, nil
		}
	}
	if req.KeptOnly {
		return nil, ErrNoKeptConnection
	}
	raw, err := c.dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	return newConn(raw), nil
}

// Forget closes the idle connections to an address.
func (c *Client) Forget(address string) { c.pool.forget(address) }

// Sweep closes idle connections that have expired. It is called about once a second.
func (c *Client) Sweep(now time.Time) { c.pool.sweep(now) }

// Close closes all idle connections.
func (c *Client) Close() { c.pool.close() }

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &timeout) && timeout.Timeout()
}

// encode writes the request line and header. A body is always sent with a
// Content-Length, even if the caller sent it with another framing.
func (r *Request) encode(buffer *bytes.Buffer) error {
	buffer.WriteString(r.Method)
	buffer.WriteByte(' ')
	buffer.WriteString(r.Target)
	buffer.WriteString(" HTTP/1.1\r\nHost: ")
	buffer.WriteString(r.Host)
	buffer.WriteString("\r\n")
	if err := r.Header.Write(buffer); err != nil {
		return err
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		buffer.WriteString("Content-Length: ")
		buffer.WriteString(strconv.Itoa(len(r.Body)))
		buffer.WriteString("\r\n")
	}
	buffer.WriteString("\r\n")
	return nil
}
