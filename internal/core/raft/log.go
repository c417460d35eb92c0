package raft

// raftLog holds in memory the entries after the last compaction.
//
// Invariants: offset <= applied <= commit <= last, stable <= last, and entries
// at or below commit never change.
type raftLog struct {
	// offset and offsetTerm are the index and the term of the entry before entries[0].
	offset     uint64
	offsetTerm uint64
	entries    []Entry
	// stable is the index of the last entry known to be synced on this node.
	stable  uint64
	commit  uint64
	applied uint64
}

func (l *raftLog) last() uint64 { return l.offset + uint64(len(l.entries)) }

func (l *raftLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// term returns the term of the entry at index, or false when it is compacted or does not exist.
func (l *raftLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.offset:
		return l.offsetTerm, true
	case index < l.offset || index > l.last():
		return 0, false
	default:
		return l.entries[index-l.offset-1].Term, true
	}
}

func (l *raftLog) matches(index, term uint64) bool {
	own, ok := l.term(index)
	return ok && own == term
}

// upToDate reports whether a log whose last entry has the given index and term
// is at least as up to date as this log.
func (l *raftLog) upToDate(index, term uint64) bool {
	own := l.lastTerm()
	return term > own || term == own && index >= l.last()
}

// from returns the entries from index on, up to maxBytes but at least one if there is any.
func (l *raftLog) from(index uint64, maxBytes int) []Entry {
	if index > l.last() {
		return nil
	}
	entries := l.entries[index-l.offset-1:]
	size := 0
	for i := range entries {
		size += entries[i].size()
		if i > 0 && size > maxBytes {
			return entries[:i:i]
		}
	}
	return entries[:len(entries):len(entries)]
}

// between returns the entries with low < index <= high.
func (l *raftLog) between(low, high uint64) []Entry {
	if high <= low {
		return nil
	}
	return l.entries[low-l.offset : high-l.offset : high-l.offset]
}

// truncate removes the entries from index on.
func (l *raftLog) truncate(index uint64) {
	if index <= l.commit {
		panicInvariant("truncate the log from index %d, but index %d is committed", index, l.commit)
	}
	// The capacity is limited so that a later append does not overwrite slices
	// that were returned earlier.
	keep := index - l.offset - 1
	l.entries = l.entries[:keep:keep]
	l.stable = min(l.stable, index-1)
}

// firstMissing returns the position in entries of the first entry that the log
// does not contain, or len(entries) if it contains all of them.
func (l *raftLog) firstMissing(entries []Entry) int {
	for i := range entries {
		if entries[i].Index <= l.offset {
			continue
		}
		if !l.matches(entries[i].Index, entries[i].Term) {
			return i
		}
	}
	return len(entries)
}

// findAtOrBelow returns index and term of the last entry at or below index whose
// term is at most the given term. A result below the offset means that the logs
// can match only in the compacted part. Returning the offset instead would make
// the leader probe the same index forever.
func (l *raftLog) findAtOrBelow(index, term uint64) (uint64, uint64) {
	index = min(index, l.last())
	for index >= l.offset {
		own, _ := l.term(index)
		if own <= term || index == 0 {
			return index, own
		}
		index--
	}
	return index, 0
}

// compact removes the entries up to index.
func (l *raftLog) compact(index uint64) {
	if index <= l.offset {
		return
	}
	if index > l.applied {
		panicInvariant("compact the log up to index %d, but only %d is applied", index, l.applied)
	}
	term, _ := l.term(index)
	// Copying the remaining entries frees the memory of the removed ones.
	l.entries = append([]Entry(nil), l.entries[index-l.offset:]...)
	l.offset, l.offsetTerm = index, term
}

// reset replaces the whole log by a snapshot that ends at index.
func (l *raftLog) reset(index, term uint64) {
	*l = raftLog{offset: index, offsetTerm: term, stable: index, commit: index, applied: index}
}
