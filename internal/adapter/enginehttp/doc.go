// Package enginehttp speaks the endpoint protocol over HTTP: it calls model
// engines and receives the announcements of endpoints.
package enginehttp
