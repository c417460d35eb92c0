// Package exchange sends HTTP/1.1 requests to endpoints and keeps the
// connections. It uses the message codec of net/http but not its transport:
// the transport replays requests by itself, and a gateway must know for each
// connection whether a byte of the request left, whether the peer closed it
// before, and whether bytes follow a complete answer.
package exchange
