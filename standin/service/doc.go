// Package service is a stand-in for a plain application server, such as one
// that publishes portfolios or holiday records. Its ledger records every call
// that it actually ran, so that a checker can detect calls that ran twice.
package service
