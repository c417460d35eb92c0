package pick

import (
	"slices"

	"github.com/boragelead/boragelead/internal/gateway/registry"
)

// VersionRule restricts a request of a service in a roll-out to endpoints of the new version,
// or to all others.
type VersionRule struct {
	// To is the new version, and New selects it. Without To all versions are selected.
	To  string
	New bool
	// Avoid is a version that gets nothing, whatever To and New select; "" means none.
	Avoid string
	// Focus is the number of ready endpoints of the new version to which requests are
	// concentrated; 0 means all. Turn selects them: all entries with the same turn and the
	// same view of the endpoints select the same ones.
	Focus int
	Turn  uint64
	// limit is the greatest hash of a selected endpoint.
	limit uint64
}

// RolloutFilter drops endpoints that the roll-out of their service excludes.
type RolloutFilter struct{}

// Name implements Filter.
func (RolloutFilter) Name() string { return "rollout" }

// Keep implements Filter.
func (RolloutFilter) Keep(r *Request, v *View) bool {
	rule := r.Rule
	if rule == nil {
		return true
	}
	if rule.Avoid != "" && v.endpoint.SoftwareVersion == rule.Avoid {
		return false
	}
	if rule.To == "" {
		return true
	}
	if (v.endpoint.SoftwareVersion == rule.To) != rule.New {
		return false
	}
	return !rule.New || rule.Focus == 0 || v.turnHash(rule.Turn) <= rule.limit
}

// turnHash returns the hash by which an endpoint is selected in a turn. The multiplication
// and the shifts are those of SplitMix64, so that turns select endpoints independently.
func (s *stats) turnHash(turn uint64) uint64 {
	x := s.idHash + turn*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// selectFocus sets the limit by which Focus of the ready endpoints of the new version pass.
func (rule *VersionRule) selectFocus(members []*stats) {
	if rule == nil || !rule.New || rule.Focus == 0 {
		return
	}
	var hashes []uint64
	for _, s := range members {
		if s.endpoint.SoftwareVersion == rule.To && s.endpoint.State == registry.Ready {
			hashes = append(hashes, s.turnHash(rule.Turn))
		}
	}
	slices.Sort(hashes)
	rule.limit = 0
	if len(hashes) > 0 {
		rule.limit = hashes[min(rule.Focus, len(hashes))-1]
	}
}

// NewestVersion returns the version of the ready endpoints of a service whose first endpoint
// started last; "" if there are not several versions.
func (b *Board) NewestVersion(service string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	firsts := make(map[string]int64)
	for _, s := range b.services[service] {
		first, known := firsts[s.endpoint.SoftwareVersion]
		if s.endpoint.State == registry.Ready && (!known || s.endpoint.Born < first) {
			firsts[s.endpoint.SoftwareVersion] = s.endpoint.Born
		}
	}
	newest, born := "", int64(0)
	for version, first := range firsts {
		if newest == "" || first > born || first == born && version > newest {
			newest, born = version, first
		}
	}
	if len(firsts) < 2 {
		return ""
	}
	return newest
}

// CountVersions returns the numbers of ready endpoints of a service that have another version
// and the given one.
func (b *Board) CountVersions(service, to string) (others, same int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.services[service] {
		switch {
		case s.endpoint.State != registry.Ready:
		case s.endpoint.SoftwareVersion == to:
			same++
		default:
			others++
		}
	}
	return others, same
}

// RunningAtOthers returns the number of running attempts of this entry at endpoints of a
// service that have another version than the given one.
func (b *Board) RunningAtOthers(service, to string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	count := 0
	for _, s := range b.services[service] {
		if s.endpoint.SoftwareVersion != to {
			count += s.inFlight
		}
	}
	return count
}
