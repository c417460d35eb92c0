// Package servicehttp sends calls to plain services. It sends each call at most once
// and reports whether the call may have run. For that it keeps net/http from replaying
// calls, which net/http does with requests that it considers idempotent.
package servicehttp
