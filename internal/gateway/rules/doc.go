// Package rules defines the part of the operators' document that governs HTTP
// exchanges: routes by host and path prefix, services, workspaces with their keys
// and quotas, and limits on callers. The package does no I/O.
package rules
