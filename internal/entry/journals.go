package entry

import (
	"hash/maphash"
	"sync"
	"time"
)

const (
	// journalShards spreads the journals over locks.
	journalShards = 16
	// JournalRetention is how long an ended journal stays readable: longer than a
	// caller takes to reconnect, short enough for the memory bound of a daemon.
	JournalRetention = 60 * time.Second
	// ResumeGrace is how long a resumable request goes on without a caller.
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

// Add stores a journal under the ID of its request. It reports false when one is there already.
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

// Get returns the journal of a request, or nil.
func (j *Journals) Get(id string) *Journal {
	shard := j.shard(id)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	return shard.byID[id]
}

// Remove forgets a journal.
func (j *Journals) Remove(id string) {
	shard := j.shard(id)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	delete(shard.byID, id)
}

// Running returns the journals that have not ended.
func (j *Journals) Running() []*Journal {
	var running []*Journal
	j.each(func(journal *Journal) {
		if !journal.Read(int(^uint(0) >> 1)).Ended {
			running = append(running, journal)
		}
	})
	return running
}

// Expire forgets journals that ended longer ago than the retention.
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

func (j *Journals) each(visit func(*Journal)) {
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
