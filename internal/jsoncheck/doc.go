// Package jsoncheck finds mistakes that encoding/json accepts or reports
// without a path: duplicate keys, unknown fields, wrong types, trailing data.
package jsoncheck
