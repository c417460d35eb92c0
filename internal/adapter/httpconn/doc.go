// Package httpconn holds what the HTTP adapters share below net/http: socket
// options that find dead connections early, and connections that know whether
// a byte of a request was written and whether the peer went silent.
package httpconn
