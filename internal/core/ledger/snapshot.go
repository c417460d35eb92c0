package ledger

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/boragelead/boragelead/internal/port"
)

// snapshotVersion is the version of the snapshot format. Restore refuses other versions.
const snapshotVersion = 1

// View is an immutable view of the state at one index. It shares values with
// the state. Another goroutine may encode it while the state changes.
type View struct{ state State }

// Freeze returns a view of the state. It copies the maps and slices but not the
// values they point to, so that applying the log waits only for a copy of
// pointers and not for the encoding.
func (s *State) Freeze() *View {
	v := &View{state: *s}
	v.state.generations = slices.Clone(s.generations)
	v.state.operations = maps.Clone(s.operations)
	v.state.operationOrder = slices.Clone(s.operationOrder)
	v.state.claims = maps.Clone(s.claims)
	v.state.ended = slices.Clone(s.ended)
	v.state.owners = maps.Clone(s.owners)
	v.state.released = maps.Clone(s.released)
	v.state.releasedOrder = slices.Clone(s.releasedOrder)
	v.state.leases = maps.Clone(s.leases)
	v.state.displaced = maps.Clone(s.displaced)
	v.state.records = maps.Clone(s.records)
	v.state.running = nil
	return v
}

// Index returns the log index of the view.
func (v *View) Index() uint64 { return v.state.index }

// Snapshot returns the encoded state. Equal states have equal encodings.
func (s *State) Snapshot() []byte { return s.Freeze().Encode() }

// snapshotImage is the encoded form of a state. Its lists are sorted or in order
// of time, so that equal states have equal encodings.
type snapshotImage struct {
	Version     int               `json:"version"`
	Now         time.Duration     `json:"now"`
	Index       uint64            `json:"index"`
	Generations []port.Generation `json:"generations"`
	Operations  []*operation      `json:"operations"`
	Claims      []*claim          `json:"claims"`
	Ended       []endedImage      `json:"ended"`
	Owners      []*owner          `json:"owners"`
	Released    []releasedImage   `json:"released"`
	Leases      []*lease          `json:"leases"`
	// Records and Displaced are missing in snapshots that older releases wrote.
	Records   []port.RecordRequest `json:"records,omitempty"`
	Displaced []displacedImage     `json:"displaced,omitempty"`
}

type displacedImage struct {
	Key   displacedKey  `json:"key"`
	Until time.Duration `json:"until"`
}

type endedImage struct {
	Key claimKey      `json:"key"`
	At  time.Duration `json:"at"`
}

type releasedImage struct {
	Attempt string        `json:"attempt"`
	At      time.Duration `json:"at"`
}

func (v *View) snapshotImage() *snapshotImage {
	s := &v.state
	img := &snapshotImage{Version: snapshotVersion, Now: s.now, Index: s.index, Generations: s.generations}
	for _, id := range s.operationOrder {
		img.Operations = append(img.Operations, s.operations[id])
	}
	keys := slices.Collect(maps.Keys(s.claims))
	sortKeys(keys)
	for _, key := range keys {
		img.Claims = append(img.Claims, s.claims[key])
	}
	for _, e := range s.ended {
		img.Ended = append(img.Ended, endedImage{e.key, e.at})
	}
	for _, name := range slices.Sorted(maps.Keys(s.owners)) {
		img.Owners = append(img.Owners, s.owners[name])
	}
	for _, attempt := range s.releasedOrder {
		img.Released = append(img.Released, releasedImage{attempt, s.released[attempt]})
	}
	for _, name := range slices.Sorted(maps.Keys(s.leases)) {
		img.Leases = append(img.Leases, s.leases[name])
	}
	for key, until := range s.displaced {
		img.Displaced = append(img.Displaced, displacedImage{key, until})
	}
	slices.SortFunc(img.Displaced, func(a, b displacedImage) int {
		return cmp.Or(cmp.Compare(a.Key.Name, b.Key.Name), cmp.Compare(a.Key.Holder, b.Key.Holder))
	})
	for _, series := range slices.Sorted(maps.Keys(s.records)) {
		img.Records = append(img.Records, s.records[series]...)
	}
	return img
}

// Encode returns the encoded view.
func (v *View) Encode() []byte {
	data, err := encode(v.snapshotImage())
	if err != nil {
		// Encoding fails only for types that msgpack does not support, and all types here are fixed.
		panic(&SnapshotError{Reason: err.Error()})
	}
	return data
}

// Restore replaces the state by a snapshot; empty data gives an empty state. If
// it returns an error, the state is unchanged.
func (s *State) Restore(data []byte) error {
	if len(data) == 0 {
		*s = *New()
		return nil
	}
	var img snapshotImage
	if err := decode(data, &img); err != nil {
		return &SnapshotError{Reason: err.Error()}
	}
	if img.Version != snapshotVersion {
		return &SnapshotError{Reason: "unknown version"}
	}
	next := New()
	next.now, next.index, next.generations = img.Now, img.Index, img.Generations
	if slices.Contains(img.Operations, nil) || slices.Contains(img.Claims, nil) ||
		slices.Contains(img.Owners, nil) || slices.Contains(img.Leases, nil) {
		return &SnapshotError{Reason: "empty record"}
	}
	for _, op := range img.Operations {
		next.operations[op.ID] = op
		next.operationOrder = append(next.operationOrder, op.ID)
	}
	next.restoreClaims(&img)
	for _, l := range img.Leases {
		next.leases[l.Name] = l
	}
	for _, d := range img.Displaced {
		next.displaced[d.Key] = d.Until
	}
	for _, r := range img.Records {
		next.records[r.Series] = append(next.records[r.Series], r)
	}
	*s = *next
	return nil
}

func (s *State) restoreClaims(img *snapshotImage) {
	for _, c := range img.Claims {
		s.claims[c.claimKey] = c
		if c.State == port.ClaimRunning {
			s.trackRunning(c)
		}
	}
	for _, e := range img.Ended {
		s.ended = append(s.ended, claimEnd{e.Key, e.At})
	}
	for _, o := range img.Owners {
		s.owners[o.Name] = o
	}
	for _, r := range img.Released {
		s.released[r.Attempt] = r.At
		s.releasedOrder = append(s.releasedOrder, r.Attempt)
	}
}

func sortKeys(keys []claimKey) {
	slices.SortFunc(keys, func(a, b claimKey) int {
		return cmp.Or(
			strings.Compare(a.Group, b.Group), strings.Compare(a.Workspace, b.Workspace), strings.Compare(a.Key, b.Key),
		)
	})
}
