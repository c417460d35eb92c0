// Package weights defines the protocol of the rate-limited weight store from
// which engines load models and adapters.
package weights

// HTTP paths of the weight store.
const (
	// PathObjects/NAME is GET, answered by the weights, and HEAD. The whole
	// store shares one rate limit.
	PathObjects = "/weights/v1/objects"
	// PathStatus is GET, answered by Status.
	PathStatus = "/weights/v1/status"
)

// HeaderBytes carries the size of an object in bytes.
const HeaderBytes = "X-Weights-Bytes"

// Object describes stored weights.
type Object struct {
	Name  string `json:"name"`
	Bytes int64  `json:"bytes"`
}

// Status describes the load of the store.
type Status struct {
	RateBytesPerS int64 `json:"rate_bytes_per_s"`
	// Streams is the number of downloads under way.
	Streams int `json:"streams"`
	// PendingBytes is what the downloads under way still have to transfer.
	PendingBytes int64 `json:"pending_bytes"`
}

// ObjectName returns the name of the weights of a model version, or of an
// adapter if one is given.
func ObjectName(model, version, adapter string) string {
	name := model + "@" + version
	if adapter != "" {
		name += "+" + adapter
	}
	return name
}
