// Package adminclient is a client of the operators' HTTP interface.
package adminclient
