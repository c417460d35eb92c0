// Package tlsconfig builds TLS configurations from the files named in the
// settings: towards callers, towards operators, and mutual between daemons.
// Certificates are read again when their files change.
package tlsconfig
