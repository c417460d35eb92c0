// Package exchange sends HTTP/1.1 requests to endpoints over pooled connections.
// It encodes and parses messages with net/http but does not use its Transport: the
// Transport replays requests by itself, and a gateway must know for each connection
// whether any byte of the request was sent, whether the peer had closed the
// connection before, and whether bytes follow a complete answer.
package exchange
