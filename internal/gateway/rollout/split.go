package rollout

// Side is the version that may get a request.
type Side uint8

const (
	// Any means that the version does not matter.
	Any Side = iota
	// Old means any version but the new one.
	Old
	// New means the version of the roll-out.
	New
)

// String returns the name of the side in log lines and metrics.
func (s Side) String() string {
	switch s {
	case Old:
		return "old"
	case New:
		return "new"
	}
	return "any"
}
