package entry

import (
	"context"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/boragelead/boragelead/internal/gateway/docsync"
	"github.com/boragelead/boragelead/internal/gateway/link"
)

const (
	// documentCallTimeout limits one call that fetches a part of a document.
	documentCallTimeout = time.Second
	// documentRetryPause is how long a replica is not asked again after a failed
	// transfer.
	documentRetryPause = 300 * time.Millisecond
	// maxRequestedChunks limits the chunks that one call asks for.
	maxRequestedChunks = 64
	// maxManifests limits how often a transfer starts again because the document was
	// replaced meanwhile.
	maxManifests = 8
)

// documents fetches the newest document from the state replicas and puts it in force.
// It asks one replica at a time, and keeps the chunks of a transfer that failed.
type documents struct {
	entry *Entry
	wake  chan struct{}

	mu     sync.Mutex
	offers map[string]*documentOffer
	// fetched is the generation of the document that was fetched last.
	fetched uint64

	// Only the loop uses the fields below. data is the document that was fetched last,
	// and partial the assembly of a newer one.
	data    []byte
	partial *docsync.Assembly
}

// documentOffer is the newest generation that a replica has.
type documentOffer struct {
	generation uint64
	// failedAt is when the last transfer failed; zero if none did.
	failedAt time.Time
}

// retryAt returns when the replica may be asked again.
func (o *documentOffer) retryAt() time.Time {
	if o.failedAt.IsZero() {
		return time.Time{}
	}
	return o.failedAt.Add(documentRetryPause)
}

func newDocuments(e *Entry) *documents {
	return &documents{entry: e, wake: make(chan struct{}, 1), offers: make(map[string]*documentOffer)}
}

// offer records that a replica has a generation.
func (d *documents) offer(replica string, generation uint64) {
	d.mu.Lock()
	if generation <= d.fetched {
		d.mu.Unlock()
		return
	}
	if d.offers[replica] == nil {
		d.offers[replica] = &documentOffer{}
	}
	d.offers[replica].generation = generation
	d.mu.Unlock()
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// loop fetches documents until the entry is closed.
func (d *documents) loop() {
	for d.entry.ctx.Err() == nil {
		replica, retryAt := d.nextReplica(time.Now())
		if replica != "" {
			d.fetchFrom(replica)
			continue
		}
		var retry <-chan time.Time
		if !retryAt.IsZero() {
			retry = time.After(time.Until(retryAt))
		}
		select {
		case <-d.wake:
		case <-retry:
		case <-d.entry.ctx.Done():
			return
		}
	}
}

// nextReplica returns the replica to fetch the newest document from, or when one can
// be asked again; neither if no replica has a newer document.
func (d *documents) nextReplica(now time.Time) (replica string, retryAt time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	newest := uint64(0)
	for _, offer := range d.offers {
		newest = max(newest, offer.generation)
	}
	var best *documentOffer
	for address, offer := range d.offers {
		switch at := offer.retryAt(); {
		case offer.generation < newest:
		case now.Before(at):
			if retryAt.IsZero() || at.Before(retryAt) {
				retryAt = at
			}
		case best == nil || d.isPreferred(address, offer, replica, best):
			replica, best = address, offer
		}
	}
	return replica, retryAt
}

// isPreferred reports whether a replica is asked before another one: the one whose last failure is
// longer ago, since a call takes longer than the pause after a failure. Else entries prefer
// different replicas, so that these share the transfers.
func (d *documents) isPreferred(address string, offer *documentOffer, other string, otherOffer *documentOffer) bool {
	if !offer.failedAt.Equal(otherOffer.failedAt) {
		return offer.failedAt.Before(otherOffer.failedAt)
	}
	name := d.entry.options.Settings.Name
	return spreadHash(name, address) < spreadHash(name, other)
}

// fetchFrom fetches the newest document of a replica and puts it in force.
func (d *documents) fetchFrom(replica string) {
	start := time.Now()
	generation, err := d.fetch(replica)
	if d.entry.ctx.Err() != nil {
		return
	}
	if err != nil {
		d.entry.log.Warn("Document not fetched.", zap.String("replica", replica), zap.Int64("ms", time.Since(start).Milliseconds()), zap.Error(err))
		d.noteFailure(replica, time.Now())
		return
	}
	d.finish(generation)
}

// noteFailure records a failed transfer from a replica.
func (d *documents) noteFailure(replica string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.offers[replica].failedAt = now
}

// finish drops the offers of documents that are not newer than a fetched one.
func (d *documents) finish(generation uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fetched = max(d.fetched, generation)
	for address, offer := range d.offers {
		if offer.generation <= d.fetched {
			delete(d.offers, address)
		}
	}
}

// StaleReplicaError reports that a replica no longer has the document that it offered.
type StaleReplicaError struct{ Offered, Has uint64 }

// Error implements error.
func (e *StaleReplicaError) Error() string {
	return fmt.Sprintf("replica has generation %d and offered %d", e.Has, e.Offered)
}

// fetch fetches the newest document of a replica and puts it in force. A transfer
// starts again with the next manifest if the document is replaced meanwhile.
func (d *documents) fetch(replica string) (generation uint64, err error) {
	start := time.Now()
	for range maxManifests {
		reply, err := d.call(replica, &link.DocumentRequest{})
		if err != nil {
			return 0, err
		}
		if offered := d.offered(replica); reply.Generation < offered || reply.Manifest == nil {
			return 0, &StaleReplicaError{Offered: offered, Has: reply.Generation}
		}
		d.partial, err = docsync.NewAssembly(*reply.Manifest, d.data, d.partial)
		if err != nil {
			return 0, err
		}
		complete, err := d.fetchChunks(replica)
		if err != nil {
			return 0, err
		}
		if !complete {
			continue
		}
		document, err := d.partial.Document()
		received := d.partial.Received()
		d.partial = nil
		if err != nil {
			return 0, err
		}
		d.data = document
		d.entry.apply(reply.Generation, document, transfer{replica: replica, bytes: received, time: time.Since(start)})
		return reply.Generation, nil
	}
	return 0, &docsync.CorruptError{Reason: "document was replaced during each transfer"}
}

// transfer describes how a document arrived, for the log.
type transfer struct {
	replica string
	// bytes is the size of the compressed chunks.
	bytes int
	time  time.Duration
}

// offered returns the generation that a replica offered.
func (d *documents) offered(replica string) uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.offers[replica].generation
}

// fetchChunks fetches the missing chunks. complete is false if the replica does not
// have one of them any more.
func (d *documents) fetchChunks(replica string) (complete bool, err error) {
	for {
		missing := d.partial.Missing(maxRequestedChunks)
		if len(missing) == 0 {
			return true, nil
		}
		reply, err := d.call(replica, &link.DocumentRequest{Chunks: missing})
		if err != nil || len(reply.Chunks) == 0 {
			return false, err
		}
		for i, packed := range reply.Chunks[:min(len(reply.Chunks), len(missing))] {
			if err := d.partial.Add(missing[i], packed); err != nil {
				return false, err
			}
		}
	}
}

func (d *documents) call(replica string, request *link.DocumentRequest) (*link.DocumentReply, error) {
	params, err := link.Encode(request)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(d.entry.ctx, documentCallTimeout)
	defer cancel()
	data, err := d.entry.options.Caller.Call(ctx, replica, link.MethodDocument, params)
	if err != nil {
		return nil, err
	}
	d.entry.metrics.documentBytes.Add(int64(len(data)))
	reply := &link.DocumentReply{}
	return reply, link.Decode(data, reply)
}
