// Package conf holds the operators' document: the one JSON document per
// environment by which operators drive the system. It defines the types,
// the validation that reports every mistake with its JSON path, and the
// difference between two documents. The package does no I/O.
package conf
