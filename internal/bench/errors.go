package bench

import "fmt"

// ScenarioError names a scenario that does not exist.
type ScenarioError struct{ Name string }

// Error implements error.
func (e *ScenarioError) Error() string { return fmt.Sprintf("there is no scenario %q", e.Name) }

// DocumentError says why a document cannot be measured.
type DocumentError struct{ Reason string }

// Error implements error.
func (e *DocumentError) Error() string { return "the document cannot be measured: " + e.Reason }
