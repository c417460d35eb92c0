// Package port declares the interfaces between the request pipeline and the
// outside: engines, plain services, the replicated ledger and the endpoint
// registry. Adapters implement them; tests use small fakes.
package port
