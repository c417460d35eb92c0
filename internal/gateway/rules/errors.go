package rules

import "fmt"

// InvalidError reports which part of a document is invalid and why.
type InvalidError struct {
	// Path identifies the part, for example routes[2].host.
	Path   string
	Reason string
}

// Error implements error.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("document invalid at %s: %s", e.Path, e.Reason)
}
