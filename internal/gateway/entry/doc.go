// Package entry serves the callers of the gateway. A request passes these steps:
// match the route, check the API key, read the body, charge the quota, choose an
// endpoint and send the request to it. The entry then forwards the answer,
// retries, resumes the stream, moves it to another endpoint or refuses the
// request.
//
// Invariant: the entry sends a refusal that promises that the request has not
// run and will not run only if no byte of the request left this entry, or if
// each endpoint that received it proved that it did not run it.
package entry
