package settings

import "fmt"

// Error reports a mistake in the settings.
type Error struct {
	// Field is the JSON path of the field, such as $.listen.callers.
	Field   string
	Message string
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("settings: %s: %s", e.Field, e.Message) }

// fieldErrorf returns an *Error for a field with a formatted message.
func fieldErrorf(field, format string, args ...any) error {
	return &Error{Field: field, Message: fmt.Sprintf(format, args...)}
}
