// Package service is a stand-in for a plain application server, such as the
// ones that publish portfolios or holiday records. Its ledger counts what it
// really ran, so that a checker can tell a call that ran twice.
package service
