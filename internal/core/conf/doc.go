// Package conf defines the operators' document: the one JSON document per
// environment with which operators configure the system. It contains the types,
// the validation, which reports every mistake with its JSON path, and the
// difference between two documents. The package does no I/O.
package conf
