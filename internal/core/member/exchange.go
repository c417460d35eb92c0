package member

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/boragelead/boragelead/api/endpoint"
)

// pullGrace is how long a gap may last before the missing records are pulled:
// datagrams of one round can arrive in another order.
const pullGrace = 200 * time.Millisecond

// SetSelf sets the instance of this daemon. It is called once, before use.
func (r *Registry) SetSelf(instance uint64) { r.hosting.instance.Store(instance) }

// TouchHost notes a sign of life of a host, direct or through another daemon.
func (r *Registry) TouchHost(instance uint64, now time.Time) {
	r.hosting.mu.Lock()
	defer r.hosting.mu.Unlock()
	if h := r.hosting.host(instance); now.After(h.heard) {
		h.heard = now
	}
}

// ForgetHost drops what is known of a host's versions. Its endpoints stay
// until their lease ends or they announce themselves elsewhere.
func (r *Registry) ForgetHost(instance uint64) {
	r.hosting.mu.Lock()
	defer r.hosting.mu.Unlock()
	delete(r.hosting.hosts, instance)
}

// Version returns the number of changes of the endpoints hosted here, load excepted.
func (r *Registry) Version() uint64 { return r.hosting.currentVersion() }

// RecordSet is a set of records of one host that belongs to a range of versions.
type RecordSet struct {
	Host uint64
	// Base and Version delimit the range: a receiver that knows Base knows
	// Version after it applied the records.
	Base, Version uint64
	// Full is set when Records holds all endpoints of the host.
	Full    bool
	Records []Record
}

// Changes returns the endpoints whose hosting here changed after a version, as
// sets of one record, with the new host's record for those handed over. Each set continues the one before, so that a receiver that
// misses one sees the gap. It returns false when the log does not reach back
// that far, or when there are more than limit changes.
func (r *Registry) Changes(since uint64, limit int, now time.Time) ([]RecordSet, bool) {
	ids, version, ok := r.hosting.changedSince(since)
	if !ok || len(ids) > limit {
		return nil, false
	}
	last := make(map[string]int, len(ids))
	for i, id := range ids {
		last[id] = i
	}
	var sets []RecordSet
	base := since
	for i, id := range ids {
		at := since + uint64(i) + 1
		e := r.peek(id)
		if at < version && (last[id] != i || e == nil) {
			continue
		}
		set := RecordSet{Host: r.hosting.self(), Base: base, Version: at}
		if e != nil {
			set.Records = []Record{r.record(e, now)}
		}
		sets = append(sets, set)
		base = at
	}
	return sets, true
}

// Pulled answers a pull: the changes after a version, or all records.
func (r *Registry) Pulled(instance, since uint64, now time.Time) []RecordSet {
	if instance == r.hosting.self() {
		if sets, ok := r.Changes(since, changeLogLength, now); ok && since > 0 {
			return sets
		}
	}
	if r.known(instance) == 0 {
		return nil
	}
	return []RecordSet{r.Full(instance, now)}
}

// peek returns an endpoint or tombstone.
func (r *Registry) peek(id string) *Endpoint {
	s := r.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endpoints[id]
}

// postpone moves all leases by a time in which this process did not run.
func (r *Registry) postpone(gap time.Duration) {
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		for _, e := range s.endpoints {
			if e.Removed == NotRemoved {
				later := *e
				later.Expires = e.Expires.Add(gap)
				r.store(s, e, &later)
			}
		}
		s.mu.Unlock()
	}
}

// Full returns all endpoints of a host at the version known here.
func (r *Registry) Full(instance uint64, now time.Time) RecordSet {
	set := RecordSet{Host: instance, Full: true, Version: r.known(instance)}
	for _, e := range r.List() {
		if e.Host == instance {
			set.Records = append(set.Records, r.record(e, now))
		}
	}
	return set
}

func (r *Registry) record(e *Endpoint, now time.Time) Record {
	record := e.record(now)
	record.LeaseLeftMS = max(0, r.leaseEnd(e).Sub(now).Milliseconds())
	return record
}

// known returns the version up to which a host's records are complete here.
func (r *Registry) known(instance uint64) uint64 {
	r.hosting.mu.Lock()
	defer r.hosting.mu.Unlock()
	if instance == r.hosting.self() {
		return r.hosting.version
	}
	if h := r.hosting.hosts[instance]; h != nil {
		return h.applied
	}
	return 0
}

// Apply merges a set of records and reports whether it left no gap.
func (r *Registry) Apply(set *RecordSet, now time.Time) bool {
	if set.Host == r.hosting.self() {
		return true
	}
	for i := range set.Records {
		r.Merge(&set.Records[i], now)
	}
	if set.Full {
		r.dropUnlisted(set, now)
	}
	r.hosting.mu.Lock()
	defer r.hosting.mu.Unlock()
	h := r.hosting.host(set.Host)
	for i := range set.Records {
		record := &set.Records[i]
		if record.Removed == NotRemoved && record.Host == set.Host {
			h.numbers[record.Number] = record.Announcement.ID
		}
	}
	if (set.Full || h.applied >= set.Base) && set.Version > h.applied {
		h.applied = set.Version
	}
	h.noteNewest(set.Version, now)
	return h.applied >= h.newest
}

func (h *host) noteNewest(version uint64, now time.Time) {
	h.newest = max(h.newest, version)
	switch {
	case h.applied >= h.newest:
		h.behindSince = time.Time{}
	case h.behindSince.IsZero():
		h.behindSince = now
	}
}

// dropUnlisted removes a host's endpoints that its full list does not name.
func (r *Registry) dropUnlisted(set *RecordSet, now time.Time) {
	if set.Version < r.known(set.Host) {
		return
	}
	listed := make(map[string]bool, len(set.Records))
	for i := range set.Records {
		listed[set.Records[i].Announcement.ID] = true
	}
	for _, e := range r.List() {
		if e.Host == set.Host && !listed[e.ID] {
			record := e.record(now)
			record.Removed = Expired
			r.Merge(&record, now)
		}
	}
}

// NoteVersion notes the version that a host says it has.
func (r *Registry) NoteVersion(instance, version uint64, now time.Time) {
	r.hosting.mu.Lock()
	defer r.hosting.mu.Unlock()
	r.hosting.host(instance).noteNewest(version, now)
}

// Behind reports whether records of a host have been missing for longer than
// pullGrace, and up to which version they are complete. It restarts the grace,
// so that a pull under way is not repeated at once.
func (r *Registry) Behind(instance uint64, now time.Time) (since uint64, behind bool) {
	r.hosting.mu.Lock()
	defer r.hosting.mu.Unlock()
	h := r.hosting.hosts[instance]
	if h == nil || h.behindSince.IsZero() || now.Sub(h.behindSince) < pullGrace {
		return 0, false
	}
	h.behindSince = now.Add(time.Second)
	return h.applied, true
}

// Delta is the load of an endpoint in 12 bytes on the wire.
type Delta struct {
	Number uint16
	// Seq holds the low 16 bits of the stamp.
	Seq  uint16
	Load endpoint.Load
}

// Deltas returns the hosted endpoints whose load changed since the last call.
func (r *Registry) Deltas(now time.Time) []Delta {
	ids := r.hosting.takeLoads()
	deltas := make([]Delta, 0, len(ids))
	for _, id := range ids {
		e := r.peek(id)
		if e == nil || !r.hosts(e) || e.Removed != NotRemoved {
			continue
		}
		load := e.Load
		load.AgeMS = now.Sub(e.LoadAt).Milliseconds()
		deltas = append(deltas, Delta{Number: e.Number, Seq: uint16(e.Stamp), Load: load})
	}
	return deltas
}

// ApplyDeltas merges load reports of a host that is at the given version.
// Numbers are only valid when the records of that version are known.
func (r *Registry) ApplyDeltas(instance, version uint64, deltas []Delta, now time.Time) {
	ids := make([]string, len(deltas))
	r.hosting.mu.Lock()
	h := r.hosting.host(instance)
	if h.applied != version {
		r.hosting.mu.Unlock()
		return
	}
	for i := range deltas {
		ids[i] = h.numbers[deltas[i].Number]
	}
	r.hosting.mu.Unlock()
	for i := range deltas {
		if ids[i] != "" && !r.applyDelta(instance, ids[i], &deltas[i], now) {
			r.refetch(instance, now)
		}
	}
}

// applyDelta reports false when the host vouches for an endpoint that is
// removed here or known from another host, which a full list of the host has to settle.
func (r *Registry) applyDelta(instance uint64, id string, d *Delta, now time.Time) bool {
	s := r.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.endpoints[id]
	if e == nil {
		return false
	}
	if e.Host != instance || e.Removed != NotRemoved {
		return e.Removed == Withdrawn
	}
	ahead := int16(d.Seq - uint16(e.Stamp))
	if ahead <= 0 {
		return true
	}
	next := *e
	next.Stamp += uint32(ahead)
	seq := next.Load.Seq
	next.Load = d.Load
	next.Load.Seq = seq + uint64(ahead)
	next.LoadAt = now.Add(-time.Duration(d.Load.AgeMS) * time.Millisecond)
	next.Expires = now.Add(time.Duration(e.LeaseMS) * time.Millisecond)
	r.store(s, e, &next)
	return true
}

// refetch makes the records of a host count as missing.
func (r *Registry) refetch(instance uint64, now time.Time) {
	r.hosting.mu.Lock()
	defer r.hosting.mu.Unlock()
	h := r.hosting.host(instance)
	h.applied = 0
	h.noteNewest(h.newest, now)
}

// HostDigest sums up what is known of a host's endpoints.
type HostDigest struct {
	Host    uint64
	Version uint64
	// Sum covers IDs, incarnations and states, so that equal versions with
	// different content are found as well.
	Sum uint32
}

// Digests returns one digest per host, this daemon included.
func (r *Registry) Digests() []HostDigest {
	sums := map[uint64]uint32{r.hosting.self(): 0}
	for _, e := range r.List() {
		sums[e.Host] += e.sum()
	}
	digests := make([]HostDigest, 0, len(sums))
	for instance, sum := range sums {
		digests = append(digests, HostDigest{Host: instance, Version: r.known(instance), Sum: sum})
	}
	return digests
}

func (e *Endpoint) sum() uint32 {
	return uint32(xxhash.Sum64String(e.ID)) ^ uint32(e.Incarnation)*0x9E3779B1 ^ uint32(len(e.State))<<24
}

// Missing returns the records of the hosts that another daemon knows less of.
func (r *Registry) Missing(theirs []HostDigest, now time.Time) []RecordSet {
	other := make(map[uint64]HostDigest, len(theirs))
	for _, d := range theirs {
		other[d.Host] = d
	}
	var sets []RecordSet
	for _, mine := range r.Digests() {
		d := other[mine.Host]
		switch {
		case mine.Version > d.Version:
			sets = append(sets, r.Full(mine.Host, now))
		case mine.Version == d.Version && mine.Sum != d.Sum:
			set := r.Full(mine.Host, now)
			set.Full = mine.Host == r.hosting.self()
			sets = append(sets, set)
		}
	}
	return sets
}
