// Package enginehttp implements the endpoint protocol over HTTP: a client that
// calls model engines and a handler that receives the announcements of endpoints.
package enginehttp
