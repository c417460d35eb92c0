package rollout

import "fmt"

// UnknownServiceError reports an order for a service that the rules in force do not have.
type UnknownServiceError struct{ Service string }

// Error implements error.
func (e *UnknownServiceError) Error() string { return fmt.Sprintf("unknown service %q", e.Service) }

// RunningError reports that another roll-out of the service runs.
type RunningError struct{ Service, To string }

// Error implements error.
func (e *RunningError) Error() string {
	return fmt.Sprintf("a roll-out of %q to %q is running", e.Service, e.To)
}

// EndedError reports that a roll-out cannot be aborted, because it is completed.
type EndedError struct{ Service, To string }

// Error implements error.
func (e *EndedError) Error() string {
	return fmt.Sprintf("the roll-out of %q to %q is completed", e.Service, e.To)
}

// NoneError reports that a service has no roll-out.
type NoneError struct{ Service string }

// Error implements error.
func (e *NoneError) Error() string { return fmt.Sprintf("no roll-out of %q", e.Service) }
