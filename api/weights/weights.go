// Package weights defines the protocol of the rate-limited weight store from
// which engines load models and adapters.
package weights

// HTTP paths of the weight store.
const (
	// PathObjects is the prefix of object paths. GET PathObjects/NAME returns
	// the weights, HEAD only their headers. All downloads share one rate limit.
	PathObjects = "/weights/v1/objects"
	// PathStatus returns Status on GET.
	PathStatus = "/weights/v1/status"
)

// HeaderBytes carries the size of an object in bytes.
const HeaderBytes = "X-Weights-Bytes"

// Object describes stored weights.
type Object struct {
	Name  string `json:"name"`
	Bytes int64  `json:"bytes"`
}

// Status reports the load of the store.
type Status struct {
	RateBytesPerS int64 `json:"rate_bytes_per_s"`
	// Streams is the number of downloads in progress.
	Streams int `json:"streams"`
	// PendingBytes is the number of bytes that the downloads in progress still
	// have to transfer.
	PendingBytes int64 `json:"pending_bytes"`
}

// ObjectName returns the object name of the weights of a model version, or of
// an adapter if adapter is not empty.
func ObjectName(model, version, adapter string) string {
	name := model + "@" + version
	if adapter != "" {
		name += "+" + adapter
	}
	return name
}
