package member

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/boragelead/boragelead/api/endpoint"
)

// pullGrace is how long records may be missing before they are pulled. The
// datagrams of one round can arrive out of order.
const pullGrace = 200 * time.Millisecond

// SetSelf sets the instance of this daemon. It must be called once, before the registry is used.
func (r *Registry) SetSelf(instance uint64) { r.hosting.instance.Store(instance) }

// TouchHost records that a host was alive at a local time, as seen by this
// daemon or reported by another one.
func (r *Registry) TouchHost(instance uint64, now time.Time) {
	r.hosting.mu.Lock()
	defer r.hosting.mu.Unlock()
	if h := r.hosting.host(instance); now.After(h.lastHeard) {
		h.lastHeard = now
	}
}

// ForgetHost deletes the version state of a host. The host's endpoints stay
// until their leases end or until they announce themselves to another daemon.
func (r *Registry) ForgetHost(instance uint64) {
	r.hosting.mu.Lock()
	defer r.hosting.mu.Unlock()
	delete(r.hosting.hosts, instance)
}

// Version returns the number of changes of the endpoints that this daemon
// hosts. Changes of load do not count.
func (r *Registry) Version() uint64 { return r.hosting.currentVersion() }

// RecordSet holds the records of one host that changed within a range of versions.
type RecordSet struct {
	Host uint64
	// Base and Version delimit the range. A receiver that has all records up to
	// Base has all records up to Version once it has applied the set.
	Base, Version uint64
	// Full is set when Records holds all endpoints of the host.
	Full    bool
	Records []Record
}

// Changes returns the hosted endpoints that changed after a version, in sets of
// one record. For an endpoint that moved to another host, the record is that of
// the new host. The Base of each set is the Version of the set before it, so that
// a receiver that misses a set detects the gap. Changes returns false if the log
// does not reach back that far, or if there are more than limit changes.
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
		e := r.lookup(id)
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

// AnswerPull returns the answer to a pull, which is the changes after a version or all records.
func (r *Registry) AnswerPull(instance, since uint64, now time.Time) []RecordSet {
	if instance == r.hosting.self() {
		if sets, ok := r.Changes(since, changeLogLength, now); ok && since > 0 {
			return sets
		}
	}
	if r.appliedVersion(instance) == 0 {
		return nil
	}
	return []RecordSet{r.Full(instance, now)}
}

// lookup returns the endpoint or the tombstone with an ID, or nil.
func (r *Registry) lookup(id string) *Endpoint {
	s := r.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endpoints[id]
}

// extendLeases extends all leases by a time during which this process did not run.
func (r *Registry) extendLeases(gap time.Duration) {
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		for _, e := range s.endpoints {
			if e.Removed == NotRemoved {
				extended := *e
				extended.Expires = e.Expires.Add(gap)
				r.store(s, e, &extended)
			}
		}
		s.mu.Unlock()
	}
}

// Full returns all known endpoints of a host at the version that was applied last.
func (r *Registry) Full(instance uint64, now time.Time) RecordSet {
	set := RecordSet{Host: instance, Full: true, Version: r.appliedVersion(instance)}
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

// appliedVersion returns the version up to which this daemon has all records of a host.
func (r *Registry) appliedVersion(instance uint64) uint64 {
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

// Apply merges a set of records. It reports whether this daemon then has all
// records up to the newest known version of the host.
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
	h.updateNewest(set.Version, now)
	return h.applied >= h.newest
}

// updateNewest raises the newest known version and starts or ends the period in
// which records are missing.
func (h *host) updateNewest(version uint64, now time.Time) {
	h.newest = max(h.newest, version)
	switch {
	case h.applied >= h.newest:
		h.behindSince = time.Time{}
	case h.behindSince.IsZero():
		h.behindSince = now
	}
}

// dropUnlisted removes the endpoints of a host that are not in its full list.
func (r *Registry) dropUnlisted(set *RecordSet, now time.Time) {
	if set.Version < r.appliedVersion(set.Host) {
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

// NoteVersion records the version that a host has announced.
func (r *Registry) NoteVersion(instance, version uint64, now time.Time) {
	r.hosting.mu.Lock()
	defer r.hosting.mu.Unlock()
	r.hosting.host(instance).updateNewest(version, now)
}

// NeedsPull reports whether records of a host have been missing for longer than
// pullGrace, and up to which version the records are complete. When it reports
// true, it delays the next pull by a second and pullGrace, so that a pull in
// progress is not repeated at once.
func (r *Registry) NeedsPull(instance uint64, now time.Time) (since uint64, needed bool) {
	r.hosting.mu.Lock()
	defer r.hosting.mu.Unlock()
	h := r.hosting.hosts[instance]
	if h == nil || h.behindSince.IsZero() || now.Sub(h.behindSince) < pullGrace {
		return 0, false
	}
	h.behindSince = now.Add(time.Second)
	return h.applied, true
}

// Delta is the load of an endpoint. It takes 12 bytes on the wire.
type Delta struct {
	Number uint16
	// Seq holds the low 16 bits of the stamp.
	Seq  uint16
	Load endpoint.Load
}

// Deltas returns the hosted endpoints whose load changed since the last call.
func (r *Registry) Deltas(now time.Time) []Delta {
	ids := r.hosting.popChangedLoads()
	deltas := make([]Delta, 0, len(ids))
	for _, id := range ids {
		e := r.lookup(id)
		if e == nil || !r.hosts(e) || e.Removed != NotRemoved {
			continue
		}
		load := e.Load
		load.AgeMS = now.Sub(e.LoadAt).Milliseconds()
		deltas = append(deltas, Delta{Number: e.Number, Seq: uint16(e.Stamp), Load: load})
	}
	return deltas
}

// ApplyDeltas merges load reports of a host that is at the given version. It
// ignores them unless the records of exactly that version were applied, because
// the endpoint numbers are only valid then.
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
			r.markIncomplete(instance, now)
		}
	}
}

// applyDelta merges one load report. It returns false if the host reports load
// for an endpoint that is unknown here, or that was removed or moved to another
// host without being withdrawn. A full list of the host is then needed.
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

// markIncomplete makes all records of a host count as missing, so that they are pulled again.
func (r *Registry) markIncomplete(instance uint64, now time.Time) {
	r.hosting.mu.Lock()
	defer r.hosting.mu.Unlock()
	h := r.hosting.host(instance)
	h.applied = 0
	h.updateNewest(h.newest, now)
}

// HostDigest is a digest of the known endpoints of a host.
type HostDigest struct {
	Host    uint64
	Version uint64
	// Sum is a checksum over IDs, incarnations and states, which detects different
	// content at equal versions.
	Sum uint32
}

// Digests returns one digest per host, including this daemon.
func (r *Registry) Digests() []HostDigest {
	sums := map[uint64]uint32{r.hosting.self(): 0}
	for _, e := range r.List() {
		sums[e.Host] += e.checksum()
	}
	digests := make([]HostDigest, 0, len(sums))
	for instance, checksum := range sums {
		digests = append(digests, HostDigest{Host: instance, Version: r.appliedVersion(instance), Sum: checksum})
	}
	return digests
}

func (e *Endpoint) checksum() uint32 {
	return uint32(xxhash.Sum64String(e.ID)) ^ uint32(e.Incarnation)*0x9E3779B1 ^ uint32(len(e.State))<<24
}

// Missing returns the records of those hosts whose digest at another daemon is
// older than here, or has the same version and a different checksum.
func (r *Registry) Missing(remote []HostDigest, now time.Time) []RecordSet {
	remoteByHost := make(map[uint64]HostDigest, len(remote))
	for _, d := range remote {
		remoteByHost[d.Host] = d
	}
	var sets []RecordSet
	for _, local := range r.Digests() {
		d := remoteByHost[local.Host]
		switch {
		case local.Version > d.Version:
			sets = append(sets, r.Full(local.Host, now))
		case local.Version == d.Version && local.Sum != d.Sum:
			set := r.Full(local.Host, now)
			set.Full = local.Host == r.hosting.self()
			sets = append(sets, set)
		}
	}
	return sets
}
