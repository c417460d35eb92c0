package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
)

// Error is a mistake in the settings.
type Error struct {
	// Field is the JSON path of the field, such as $.listen.callers.
	Field   string
	Message string
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("settings: %s: %s", e.Field, e.Message) }

// Load reads and checks a settings file.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &Error{Field: "$", Message: err.Error()}
	}
	return Parse(data)
}

// Parse decodes settings, fills in defaults and checks them.
func Parse(data []byte) (*Settings, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	settings := Default()
	if err := decoder.Decode(settings); err != nil {
		return nil, &Error{Field: "$", Message: err.Error()}
	}
	return settings, nil
}

// Default returns the defaults of all optional fields.
func Default() *Settings {
	return &Settings{
		Limits:         Limits{MaxStreams: 4000, MaxMemoryBytes: 256 << 20},
		Log:            Log{Level: "info", Format: "console"},
		Trace:          Trace{SampleRatio: 1},
		DrainWaitMS:    2000,
		DrainTimeoutMS: 60000,
	}
}
