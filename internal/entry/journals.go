package entry

import (
	"hash/maphash"
	"sync"
	"time"
)

const (
	// journalShards is the number of shards, each with a lock of its own.
	journalShards = 16
	// JournalRetention is how long the journal of an ended request stays
	// readable: longer than a caller takes to reconnect, and short enough to
	// stay within the memory limit of a daemon.
	JournalRetention = 60 * time.Second
	// ResumeGrace is how long a resumable request continues without a caller.
	ResumeGrace = 30 * time.Second
)

// Journals holds the journals of a daemon by request ID.
type Journals struct {
	seed   maphash.Seed
	shards [journalShards]journalShard
}

type journalShard struct {
	mu   sync.Mutex
	byID map[string]*Journal
}

// NewJournals returns an empty collection.
func NewJournals() *Journals {
	j := &Journals{seed: maphash.MakeSeed()}
	for i := range j.shards {
		j.shards[i].byID = make(map[string]*Journal)
	}
	return j
}

func (j *Journals) shard(id string) *journalShard {
	return &j.shards[maphash.String(j.seed, id)%journalShards]
}

// Add stores a journal under the ID of its request. It returns false if the ID
// is already in use.
func (j *Journals) Add(journal *Journal) bool {
	shard := j.shard(journal.request.ID)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if shard.byID[journal.request.ID] != nil {
		return false
	}
	shard.byID[journal.request.ID] = journal
	return true
}

// replace stores a journal under the ID of its request and returns the journal
// that was stored there before, or nil.
func (j *Journals) replace(journal *Journal) *Journal {
	shard := j.shard(journal.request.ID)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	old := shard.byID[journal.request.ID]
	shard.byID[journal.request.ID] = journal
	return old
}

// removeJournal deletes a journal unless another one has replaced it.
func (j *Journals) removeJournal(journal *Journal) {
	shard := j.shard(journal.request.ID)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if shard.byID[journal.request.ID] == journal {
		delete(shard.byID, journal.request.ID)
	}
}

// Get returns the journal of a request, or nil if there is none.
func (j *Journals) Get(id string) *Journal {
	shard := j.shard(id)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	return shard.byID[id]
}

// Remove deletes the journal of a request.
func (j *Journals) Remove(id string) {
	shard := j.shard(id)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	delete(shard.byID, id)
}

// Running returns the journals of the requests that have not ended.
func (j *Journals) Running() []*Journal {
	var running []*Journal
	j.forEach(func(journal *Journal) {
		if !journal.Read(int(^uint(0) >> 1)).Ended {
			running = append(running, journal)
		}
	})
	return running
}

// Expire deletes the journals of requests that ended longer ago than
// JournalRetention.
func (j *Journals) Expire(now time.Time) {
	for i := range j.shards {
		shard := &j.shards[i]
		shard.mu.Lock()
		for id, journal := range shard.byID {
			if journal.Expired(now, JournalRetention) {
				delete(shard.byID, id)
			}
		}
		shard.mu.Unlock()
	}
}

func (j *Journals) forEach(visit func(*Journal)) {
	for i := range j.shards {
		shard := &j.shards[i]
		shard.mu.Lock()
		journals := make([]*Journal, 0, len(shard.byID))
		for _, journal := range shard.byID {
			journals = append(journals, journal)
		}
		shard.mu.Unlock()
		for _, journal := range journals {
			visit(journal)
		}
	}
}
