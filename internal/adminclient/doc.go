// Package adminclient is the client of the operators' interface.
package adminclient
