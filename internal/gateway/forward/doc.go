// Package forward defines how an entry passes a request on to another entry, its peer,
// that reaches the endpoints when it does not itself.
//
// The request goes over HTTP/1.1 as the caller sent it, with a header in which the entry
// states what it has decided: service, rank, time left, and what the attempt must respect.
// The peer chooses an endpoint, makes one attempt, and answers as the endpoint did. A
// header of the answer tells which endpoint it was, or why there is no answer. Streams end
// with a trailer, since the end of a body alone does not tell whether the endpoint wrote
// all of it.
package forward
