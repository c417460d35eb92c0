// Package entry is the request pipeline of an entry daemon. It admits a
// request, chooses an endpoint, runs attempts until the answer is complete, and
// delivers each token to the caller once and in order.
package entry
