// Package entry serves the callers of the gateway. An exchange passes these
// steps: match the route, check the key, read the body, spend the quota, choose
// an endpoint, attempt, and either answer, try again, resume, move or refuse.
//
// Invariant: a refusal that promises that a request has not run and will not
// run is given only where no byte of it left this entry or each endpoint that
// got it proved that it did not run it.
package entry
