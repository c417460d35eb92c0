package port

import (
	"context"
	"fmt"

	"github.com/boragelead/boragelead/api/weights"
)

// WeightStore tells the planner what loading weights will take. Engines
// download by themselves. Errors are a *WeightStoreError or a *TransportError.
type WeightStore interface {
	// Object returns the size of stored weights; see weights.ObjectName.
	Object(ctx context.Context, name string) (weights.Object, error)
	Status(ctx context.Context) (weights.Status, error)
}

// WeightStoreError is an answer of the weight store that is no success.
type WeightStoreError struct{ Status int }

// Error implements error.
func (e *WeightStoreError) Error() string {
	return fmt.Sprintf("weight store answered with status %d", e.Status)
}
