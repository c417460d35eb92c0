// Package callerhttp implements the HTTP interface for callers: the
// OpenAI-compatible API for generations and the paths of plain services.
package callerhttp
