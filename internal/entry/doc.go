// Package entry is the request pipeline of a daemon: it admits a request,
// chooses an endpoint, runs attempts until the answer is whole and hands each
// token to the caller once and in order.
package entry
