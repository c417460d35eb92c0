// Package httpconn provides the connections that the HTTP adapters use with net/http.
// Socket options detect dead connections early, and each connection records whether a
// byte of a request was written and whether the peer stopped sending.
package httpconn
