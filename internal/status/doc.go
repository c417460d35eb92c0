// Package status defines the JSON types of the operators' interface, shared
// by the server (adapter/adminhttp) and the command line (adminclient).
package status
