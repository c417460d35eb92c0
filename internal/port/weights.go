package port

import (
	"context"
	"fmt"

	"github.com/boragelead/boragelead/api/weights"
)

// WeightStore provides the planner with the data from which it estimates how
// long loading weights takes. Engines download the weights themselves. Errors
// are a *WeightStoreError or a *TransportError.
type WeightStore interface {
	// Object returns the size of stored weights. See weights.ObjectName for the
	// names.
	Object(ctx context.Context, name string) (weights.Object, error)
	// Status returns the state of the weight store.
	Status(ctx context.Context) (weights.Status, error)
}

// WeightStoreError reports an answer of the weight store with a status other
// than success.
type WeightStoreError struct{ Status int }

// Error implements error.
func (e *WeightStoreError) Error() string {
	return fmt.Sprintf("weight store answered with status %d", e.Status)
}
