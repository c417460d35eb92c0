// Package prompts holds the long prompts that entries have sent to endpoints, so that other
// entries know what is processed there. It does no I/O.
package prompts

import (
	"sync"
	"time"
)

const (
	// feedCapacity is the number of prompts that a feed keeps. A reader that is further behind
	// misses the older ones.
	feedCapacity = 1024
	// MaxAge is the age from which a prompt is not returned to readers: it is likely processed.
	MaxAge = 2 * time.Second
	// MaxItems limits the prompts of one message.
	MaxItems = 128
)

// Prompt is a long prompt at an endpoint.
type Prompt struct {
	Endpoint string `msgpack:"e"`
	// Tokens is the number of prompt tokens that the endpoint has to process.
	Tokens int `msgpack:"t"`
	// AgeMS is how long ago it was reported, in milliseconds.
	AgeMS int64 `msgpack:"a,omitempty"`
}

// Feed keeps the newest prompts of all entries. It is safe for concurrent use.
type Feed struct {
	mu      sync.Mutex
	items   [feedCapacity]item
	next    uint64
	changed chan struct{}
}

type item struct {
	prompt Prompt
	entry  string
	at     time.Time
}

// NewFeed returns an empty feed.
func NewFeed() *Feed { return &Feed{changed: make(chan struct{})} }

// Add adds prompts that an entry has sent.
func (f *Feed) Add(entry string, list []Prompt, now time.Time) {
	if len(list) == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range list[:min(len(list), MaxItems)] {
		f.items[f.next%feedCapacity] = item{prompt: p, entry: entry, at: now}
		f.next++
	}
	close(f.changed)
	f.changed = make(chan struct{})
}

// Since returns the prompts of other entries after a position, the position for the next call,
// and a channel that is closed when there are further ones.
func (f *Feed) Since(entry string, position uint64, now time.Time) (list []Prompt, next uint64, changed <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if position > f.next {
		position = f.next
	}
	if f.next > feedCapacity {
		position = max(position, f.next-feedCapacity)
	}
	for ; position < f.next && len(list) < MaxItems; position++ {
		it := &f.items[position%feedCapacity]
		age := now.Sub(it.at)
		if it.entry == entry || age > MaxAge {
			continue
		}
		p := it.prompt
		p.AgeMS = age.Milliseconds()
		list = append(list, p)
	}
	return list, position, f.changed
}
