package cluster

import "fmt"

// UnknownDomainError reports that no relay of a failure domain is known.
type UnknownDomainError struct{ Domain string }

// Error implements error.
func (e *UnknownDomainError) Error() string {
	return fmt.Sprintf("no relay of failure domain %q is known", e.Domain)
}

// OptionError reports an option that is missing or invalid.
type OptionError struct{ Option, Message string }

// Error implements error.
func (e *OptionError) Error() string {
	return fmt.Sprintf("cluster option %s: %s", e.Option, e.Message)
}
