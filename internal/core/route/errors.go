package route

import "fmt"

// NoEndpointError says that no endpoint can serve a request now.
type NoEndpointError struct {
	Model string
	// Known counts the endpoints that were looked at.
	Known int
	// Fitting counts those that hold the model and are ready; the other
	// filters dropped them.
	Fitting int
}

// Error implements error.
func (e *NoEndpointError) Error() string {
	return fmt.Sprintf("none of %d endpoints can serve model %q (%d hold it)", e.Known, e.Model, e.Fitting)
}
