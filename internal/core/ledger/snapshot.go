package ledger

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/boragelead/boragelead/internal/port"
)

// snapshotVersion is the format of a snapshot; a state of another version is refused.
const snapshotVersion = 1

// Frozen is a view of the state at one index. It shares the records with the
// state and can be encoded by another goroutine while the state changes.
type Frozen struct{ state State }

// Freeze copies the maps but not the records, so that the log waits only for
// a copy of pointers and not for the encoding.
func (s *State) Freeze() *Frozen {
	f := &Frozen{state: *s}
	f.state.generations = slices.Clone(s.generations)
	f.state.operations = maps.Clone(s.operations)
	f.state.operationOrder = slices.Clone(s.operationOrder)
	f.state.claims = maps.Clone(s.claims)
	f.state.ended = slices.Clone(s.ended)
	f.state.owners = maps.Clone(s.owners)
	f.state.released = maps.Clone(s.released)
	f.state.releasedOrder = slices.Clone(s.releasedOrder)
	f.state.leases = maps.Clone(s.leases)
	f.state.displaced = maps.Clone(s.displaced)
	f.state.records = maps.Clone(s.records)
	f.state.running = nil
	return f
}

// Index is the log index of the view.
func (f *Frozen) Index() uint64 { return f.state.index }

// Snapshot returns the encoded state. Equal states give equal bytes.
func (s *State) Snapshot() []byte { return s.Freeze().Encode() }

// image is the encoded form of a state. Lists are in order of time or sorted.
type image struct {
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
	// Records and Displaced are missing in snapshots of older versions.
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

func (f *Frozen) image() *image {
	s := &f.state
	im := &image{Version: snapshotVersion, Now: s.now, Index: s.index, Generations: s.generations}
	for _, id := range s.operationOrder {
		im.Operations = append(im.Operations, s.operations[id])
	}
	keys := slices.Collect(maps.Keys(s.claims))
	sortKeys(keys)
	for _, key := range keys {
		im.Claims = append(im.Claims, s.claims[key])
	}
	for _, e := range s.ended {
		im.Ended = append(im.Ended, endedImage{e.key, e.at})
	}
	for _, name := range slices.Sorted(maps.Keys(s.owners)) {
		im.Owners = append(im.Owners, s.owners[name])
	}
	for _, attempt := range s.releasedOrder {
		im.Released = append(im.Released, releasedImage{attempt, s.released[attempt]})
	}
	for _, name := range slices.Sorted(maps.Keys(s.leases)) {
		im.Leases = append(im.Leases, s.leases[name])
	}
	for key, until := range s.displaced {
		im.Displaced = append(im.Displaced, displacedImage{key, until})
	}
	slices.SortFunc(im.Displaced, func(a, b displacedImage) int {
		return cmp.Or(cmp.Compare(a.Key.Name, b.Key.Name), cmp.Compare(a.Key.Holder, b.Key.Holder))
	})
	for _, series := range slices.Sorted(maps.Keys(s.records)) {
		im.Records = append(im.Records, s.records[series]...)
	}
	return im
}

// Encode returns the bytes of the view.
func (f *Frozen) Encode() []byte {
	data, err := encode(f.image())
	if err != nil {
		// Only a type that msgpack cannot encode fails, and the types are fixed.
		panic(&SnapshotError{Reason: err.Error()})
	}
	return data
}

// Restore replaces the state by a snapshot. A snapshot that does not decode
// leaves the state as it is.
func (s *State) Restore(data []byte) error {
	if len(data) == 0 {
		*s = *New()
		return nil
	}
	var im image
	if err := decode(data, &im); err != nil {
		return &SnapshotError{Reason: err.Error()}
	}
	if im.Version != snapshotVersion {
		return &SnapshotError{Reason: "unknown version"}
	}
	next := New()
	next.now, next.index, next.generations = im.Now, im.Index, im.Generations
	if slices.Contains(im.Operations, nil) || slices.Contains(im.Claims, nil) ||
		slices.Contains(im.Owners, nil) || slices.Contains(im.Leases, nil) {
		return &SnapshotError{Reason: "empty record"}
	}
	for _, op := range im.Operations {
		next.operations[op.ID] = op
		next.operationOrder = append(next.operationOrder, op.ID)
	}
	next.restoreClaims(&im)
	for _, l := range im.Leases {
		next.leases[l.Name] = l
	}
	for _, d := range im.Displaced {
		next.displaced[d.Key] = d.Until
	}
	for _, r := range im.Records {
		next.records[r.Series] = append(next.records[r.Series], r)
	}
	*s = *next
	return nil
}

func (s *State) restoreClaims(im *image) {
	for _, c := range im.Claims {
		s.claims[c.claimKey] = c
		if c.State == port.ClaimRunning {
			s.track(c)
		}
	}
	for _, e := range im.Ended {
		s.ended = append(s.ended, endedClaim{e.Key, e.At})
	}
	for _, o := range im.Owners {
		s.owners[o.Name] = o
	}
	for _, r := range im.Released {
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
