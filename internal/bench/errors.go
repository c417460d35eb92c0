package bench

import "fmt"

// ScenarioError reports an unknown scenario.
type ScenarioError struct{ Name string }

// Error implements error.
func (e *ScenarioError) Error() string { return fmt.Sprintf("unknown benchmark scenario %q", e.Name) }

// DocumentError reports why the benchmark cannot use a document.
type DocumentError struct{ Reason string }

// Error implements error.
func (e *DocumentError) Error() string {
	return "document cannot be used for the benchmark: " + e.Reason
}
