package settings

import "fmt"

// Error is a mistake in the settings.
type Error struct {
	// Field is the JSON path of the field, such as $.listen.callers.
	Field   string
	Message string
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("settings: %s: %s", e.Field, e.Message) }

func mistake(field, format string, args ...any) error {
	return &Error{Field: field, Message: fmt.Sprintf(format, args...)}
}
