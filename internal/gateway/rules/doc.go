// Package rules is the part of the operators' document that HTTP exchanges
// follow: routes by host and path prefix, services, workspaces with their keys
// and quotas, and limits towards callers. The package does no I/O.
package rules
