// Package peerrpc carries calls between daemons as JSON-RPC 2.0 over TCP, with
// optional mutual TLS. Params and results are opaque bytes. A connection that
// carries no data while an answer is due is closed and replaced within about
// SilenceTimeout.
package peerrpc
