package docsync

import (
	"bytes"
	"compress/flate"
	"crypto/sha256"

	"github.com/rotisserie/eris"
)

// Manifest describes a document by its chunks.
type Manifest struct {
	// Digest is the SHA-256 digest of the document.
	Digest []byte `msgpack:"d"`
	Size   int    `msgpack:"s"`
	// Chunks holds the IDs of the chunks in order, one after the other.
	Chunks []byte `msgpack:"c"`
}

// ids returns the IDs of the chunks in order.
func (m *Manifest) ids() []ID {
	list := make([]ID, 0, len(m.Chunks)/len(ID{}))
	for at := 0; at+len(ID{}) <= len(m.Chunks); at += len(ID{}) {
		list = append(list, ID(m.Chunks[at:at+len(ID{})]))
	}
	return list
}

// Source is a document in the form in which it is sent. It is read-only.
type Source struct {
	Manifest Manifest
	// packed holds the compressed chunks.
	packed map[ID][]byte
}

// NewSource cuts and compresses a document. Chunks that the previous source has are
// not compressed again; previous may be nil.
func NewSource(document []byte, previous *Source) (*Source, error) {
	digest := sha256.Sum256(document)
	s := &Source{Manifest: Manifest{Digest: digest[:], Size: len(document)}, packed: make(map[ID][]byte)}
	packer, err := flate.NewWriter(nil, flate.BestSpeed)
	if err != nil {
		return nil, eris.Wrap(err, "create compressor")
	}
	for _, chunk := range split(document) {
		id := chunkID(chunk)
		s.Manifest.Chunks = append(s.Manifest.Chunks, id[:]...)
		if s.packed[id] != nil {
			continue
		}
		if previous != nil && previous.packed[id] != nil {
			s.packed[id] = previous.packed[id]
			continue
		}
		if s.packed[id], err = pack(packer, chunk); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func pack(packer *flate.Writer, chunk []byte) ([]byte, error) {
	var packed bytes.Buffer
	packer.Reset(&packed)
	_, err := packer.Write(chunk)
	if err == nil {
		err = packer.Close()
	}
	return bytes.Clone(packed.Bytes()), eris.Wrap(err, "compress chunk")
}

// Packed returns the compressed chunks with the listed IDs, in order, as far as they
// fit into maxBytes, but at least one. ok is false if the source lacks one of them.
func (s *Source) Packed(ids []ID, maxBytes int) (chunks [][]byte, ok bool) {
	size := 0
	for _, id := range ids {
		packed := s.packed[id]
		if packed == nil {
			return nil, false
		}
		if size += len(packed); size > maxBytes && len(chunks) > 0 {
			break
		}
		chunks = append(chunks, packed)
	}
	return chunks, true
}
