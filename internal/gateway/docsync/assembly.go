package docsync

import (
	"bytes"
	"compress/flate"
	"crypto/sha256"
	"fmt"
	"io"
)

// MaxDocumentBytes limits the size of a document. A manifest that names a larger one is
// corrupt.
const MaxDocumentBytes = 8 << 20

// CorruptError reports a manifest or chunk that does not fit the document.
type CorruptError struct{ Reason string }

// Error implements error.
func (e *CorruptError) Error() string { return "document transfer is corrupt: " + e.Reason }

// Assembly builds a document from chunks. It is not safe for concurrent use.
type Assembly struct {
	manifest Manifest
	ids      []ID
	chunks   map[ID][]byte
	reader   io.ReadCloser
	received int
}

// NewAssembly starts to build the document of a manifest. The chunks of an earlier
// document, which may be nil, and those of an assembly that was not completed, which
// may be nil as well, are used again.
func NewAssembly(m Manifest, document []byte, earlier *Assembly) (*Assembly, error) {
	if len(m.Digest) != sha256.Size || len(m.Chunks)%len(ID{}) != 0 || m.Size < 0 || m.Size > MaxDocumentBytes {
		return nil, &CorruptError{Reason: "malformed manifest"}
	}
	a := &Assembly{manifest: m, ids: m.ids(), chunks: make(map[ID][]byte), reader: flate.NewReader(bytes.NewReader(nil))}
	wanted := make(map[ID]bool, len(a.ids))
	for _, id := range a.ids {
		wanted[id] = true
	}
	for _, chunk := range split(document) {
		if id := chunkID(chunk); wanted[id] {
			a.chunks[id] = chunk
		}
	}
	if earlier != nil {
		for id, chunk := range earlier.chunks {
			if wanted[id] {
				a.chunks[id] = chunk
			}
		}
	}
	return a, nil
}

// Missing returns the IDs of up to limit chunks that have not arrived, in order and
// each once.
func (a *Assembly) Missing(limit int) []ID {
	var list []ID
	listed := make(map[ID]bool)
	for _, id := range a.ids {
		if len(list) == limit {
			break
		}
		if a.chunks[id] == nil && !listed[id] {
			listed[id] = true
			list = append(list, id)
		}
	}
	return list
}

// Add decompresses and stores a chunk. The error is a *CorruptError.
func (a *Assembly) Add(id ID, packed []byte) error {
	if err := a.reader.(flate.Resetter).Reset(bytes.NewReader(packed), nil); err != nil {
		return &CorruptError{Reason: err.Error()}
	}
	chunk, err := io.ReadAll(io.LimitReader(a.reader, maxChunkBytes+1))
	if err != nil {
		return &CorruptError{Reason: err.Error()}
	}
	if chunkID(chunk) != id {
		return &CorruptError{Reason: fmt.Sprintf("chunk of %d bytes does not have the ID %x", len(chunk), id)}
	}
	a.chunks[id] = chunk
	a.received += len(packed)
	return nil
}

// Received returns the number of compressed bytes that were added.
func (a *Assembly) Received() int { return a.received }

// Document returns the document once no chunk is missing. The error is a
// *CorruptError.
func (a *Assembly) Document() ([]byte, error) {
	document := make([]byte, 0, a.manifest.Size)
	for _, id := range a.ids {
		chunk := a.chunks[id]
		if chunk == nil || len(document)+len(chunk) > a.manifest.Size {
			return nil, &CorruptError{Reason: "chunks do not add up to the document"}
		}
		document = append(document, chunk...)
	}
	if sum := sha256.Sum256(document); !bytes.Equal(sum[:], a.manifest.Digest) {
		return nil, &CorruptError{Reason: "document does not have the digest of its manifest"}
	}
	return document, nil
}
