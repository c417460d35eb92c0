package route

import "fmt"

// NoEndpointError reports that no endpoint can serve a request now.
type NoEndpointError struct {
	Model string
	// Known is the number of endpoints in the snapshot.
	Known int
	// Eligible is the number of ready endpoints that hold the model and have the
	// requested role. The other filters dropped all of them.
	Eligible int
}

// Error implements error.
func (e *NoEndpointError) Error() string {
	return fmt.Sprintf("none of %d endpoints can serve model %q (%d hold it)", e.Known, e.Model, e.Eligible)
}
