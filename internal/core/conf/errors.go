package conf

import (
	"fmt"
	"strings"
)

// Problem is one mistake in an operators' document.
type Problem struct {
	// Path is the JSON path of the mistake, such as $.ranks[0].floor.
	Path    string `json:"path"`
	Message string `json:"message"`
}

// ValidationError lists every mistake that was found in a document.
type ValidationError struct {
	Problems []Problem
}

// Error implements error.
func (e *ValidationError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, fmt.Sprintf("%s: %s", p.Path, p.Message))
	}
	return "invalid document: " + strings.Join(lines, "; ")
}
