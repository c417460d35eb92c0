package settings

import (
	"encoding/json"
	"os"
	"reflect"

	"github.com/boragelead/boragelead/internal/jsoncheck"
)

// Defaults of optional fields.
const (
	// DefaultMaxStreams allows 10 KB of heap per stream within the 256 MB of a daemon.
	DefaultMaxStreams = 4000
	// DefaultMaxMemoryBytes is the memory budget of a daemon (docs/design.md, 2).
	DefaultMaxMemoryBytes = 256 << 20
	// DefaultDrainWaitMS is long enough for two health checks of a load balancer
	// that checks every second.
	DefaultDrainWaitMS = 2000
	// DefaultDrainTimeoutMS is long enough for the longest answers of the interactive ranks.
	DefaultDrainTimeoutMS = 60000
)

// Load reads and checks a settings file. The error is an *Error.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &Error{Field: "$", Message: err.Error()}
	}
	return Parse(data)
}

// Parse decodes settings, fills in defaults and checks them. The error is an *Error.
func Parse(data []byte) (*Settings, error) {
	if problems := jsoncheck.Check(data, reflect.TypeFor[Settings]()); len(problems) > 0 {
		return nil, &Error{Field: problems[0].Path, Message: problems[0].Message}
	}
	settings := Default()
	if err := json.Unmarshal(data, settings); err != nil {
		return nil, &Error{Field: "$", Message: err.Error()}
	}
	if err := settings.Validate(); err != nil {
		return nil, err
	}
	return settings, nil
}

// Default returns the defaults of all optional fields.
func Default() *Settings {
	return &Settings{
		Limits:         Limits{MaxStreams: DefaultMaxStreams, MaxMemoryBytes: DefaultMaxMemoryBytes},
		Log:            Log{Level: "info", Format: "console"},
		Trace:          Trace{SampleRatio: 1},
		DrainWaitMS:    DefaultDrainWaitMS,
		DrainTimeoutMS: DefaultDrainTimeoutMS,
	}
}
