// Package callerhttp serves callers: the OpenAI-compatible interface for
// generations and the paths of plain services.
package callerhttp
