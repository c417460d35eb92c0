// Package status defines the JSON types of the HTTP interface for operators. The
// server (adapter/adminhttp) and the client (adminclient) share them.
package status
