package raft

// raftLog holds the entries after the last compaction in memory.
//
// Invariants: offset <= applied <= commit <= last, stable <= last, and entries
// at or below commit never change.
type raftLog struct {
	// offset and offsetTerm name the entry before entries[0].
	offset     uint64
	offsetTerm uint64
	entries    []Entry
	// stable is the last index known to be synced on this node.
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

// upToDate reports whether a log that ends with the given entry holds at least as much as this one.
func (l *raftLog) upToDate(index, term uint64) bool {
	own := l.lastTerm()
	return term > own || term == own && index >= l.last()
}

// from returns entries from index on, at least one if there is any, up to maxBytes.
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
		invariant("truncate at %d below commit %d", index, l.commit)
	}
	// The capacity is cut so that a later append does not write into slices handed out before.
	keep := index - l.offset - 1
	l.entries = l.entries[:keep:keep]
	l.stable = min(l.stable, index-1)
}

// conflict returns the position of the first entry that the log does not hold, or len(entries).
func (l *raftLog) conflict(entries []Entry) int {
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

// findAtOrBelow returns the last entry at or below index whose term is at most
// term. A result below the offset means that the logs may agree only in the
// compacted part: returning the offset instead would probe the same place forever.
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

// compact forgets the entries up to index.
func (l *raftLog) compact(index uint64) {
	if index <= l.offset {
		return
	}
	if index > l.applied {
		invariant("compact at %d beyond applied %d", index, l.applied)
	}
	term, _ := l.term(index)
	// Copying frees the memory of the forgotten entries.
	l.entries = append([]Entry(nil), l.entries[index-l.offset:]...)
	l.offset, l.offsetTerm = index, term
}

// reset replaces the whole log by a snapshot.
func (l *raftLog) reset(index, term uint64) {
	*l = raftLog{offset: index, offsetTerm: term, stable: index, commit: index, applied: index}
}
