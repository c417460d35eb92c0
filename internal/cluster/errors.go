package cluster

import "fmt"

// UnknownDomainError says that no relay of a failure domain is known.
type UnknownDomainError struct{ Domain string }

// Error implements error.
func (e *UnknownDomainError) Error() string {
	return fmt.Sprintf("no relay of failure domain %q is known", e.Domain)
}

// OptionError says that an option is missing or wrong.
type OptionError struct{ Option, Message string }

// Error implements error.
func (e *OptionError) Error() string {
	return fmt.Sprintf("cluster option %s: %s", e.Option, e.Message)
}
