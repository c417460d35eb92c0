package rules

import "fmt"

// InvalidError says which part of a document is wrong and why.
type InvalidError struct {
	// Path names the part, such as routes[2].host.
	Path   string
	Reason string
}

// Error implements error.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("document invalid at %s: %s", e.Path, e.Reason)
}
