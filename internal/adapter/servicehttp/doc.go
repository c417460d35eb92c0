// Package servicehttp sends calls to plain services. It sends each call at
// most once and says truthfully whether it ran: net/http must not replay a
// call, which it does with requests that it takes for idempotent.
package servicehttp
