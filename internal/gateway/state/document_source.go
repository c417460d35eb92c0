package state

import (
	"context"
	"sync"

	"github.com/boragelead/boragelead/internal/gateway/docsync"
	"github.com/boragelead/boragelead/internal/gateway/link"
	"github.com/boragelead/boragelead/internal/port"
)

// maxChunkReplyBytes limits the chunks in one answer, so that a poll never waits long
// behind them on a narrow link.
const maxChunkReplyBytes = 24 << 10

// documentSource holds the newest document as it is sent to entries. It is prepared
// once, when the first entry asks for it. It is safe for concurrent use.
type documentSource struct {
	mu         sync.Mutex
	generation uint64
	source     *docsync.Source
}

// of returns the source of a generation, or of a newer one.
func (d *documentSource) of(generation *port.Generation) (*docsync.Source, uint64, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.source != nil && d.generation >= generation.Number {
		return d.source, d.generation, nil
	}
	document, err := decompressDocument(generation.Document)
	if err != nil {
		return nil, 0, err
	}
	source, err := docsync.NewSource(document, d.source)
	if err != nil {
		return nil, 0, err
	}
	d.source, d.generation = source, generation.Number
	return source, generation.Number, nil
}

// handleDocument sends an entry the manifest or chunks of the newest document.
func (s *State) handleDocument(_ context.Context, params []byte) ([]byte, error) {
	request := &link.DocumentRequest{}
	if err := link.Decode(params, request); err != nil {
		return nil, err
	}
	newest, _ := s.replica.NewestGeneration()
	if newest.Number == 0 {
		return link.Encode(&link.DocumentReply{})
	}
	source, generation, err := s.documentSource.of(&newest)
	if err != nil {
		return nil, err
	}
	reply := &link.DocumentReply{Generation: generation}
	if len(request.Chunks) == 0 {
		reply.Manifest = &source.Manifest
	} else if chunks, ok := source.Packed(request.Chunks, maxChunkReplyBytes); ok {
		reply.Chunks = chunks
	}
	data, err := link.Encode(reply)
	s.options.Metrics.Counter("state_document_replies").Inc()
	s.options.Metrics.Counter("state_document_bytes").Add(int64(len(data)))
	return data, err
}
