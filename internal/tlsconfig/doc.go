// Package tlsconfig builds TLS configurations from the files that the settings
// name: for connections from callers, for connections from operators, and for
// mutual TLS between daemons. Certificates are reloaded when their files change.
package tlsconfig
