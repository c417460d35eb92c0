// Package endpoint defines the wire types of the protocol between boragelead
// and the endpoints it routes to: model engines and plain services.
//
// Endpoints announce themselves to any entry daemon over HTTP with JSON
// bodies. Daemons call engines over HTTP; an engine answers a generation with
// a stream of JSON frames, one per line. docs/endpoint-protocol.md describes
// paths, status codes and timing.
package endpoint
