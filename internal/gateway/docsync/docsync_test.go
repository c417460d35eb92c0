package docsync

import (
	"bytes"
	"errors"
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// transfer fetches the document of a source as an entry does, in answers of at most
// maxBytes, and returns the size of the answers.
func transfer(g *WithT, source *Source, have []byte, earlier *Assembly, maxBytes int) (document []byte, size int) {
	assembly, err := NewAssembly(source.Manifest, have, earlier)
	g.Expect(err).NotTo(HaveOccurred())
	size = len(source.Manifest.Chunks)
	for missing := assembly.Missing(64); len(missing) > 0; missing = assembly.Missing(64) {
		chunks, ok := source.Packed(missing, maxBytes)
		g.Expect(ok).To(BeTrue())
		answer := 0
		for i, chunk := range chunks {
			answer += len(chunk)
			g.Expect(assembly.Add(missing[i], chunk)).To(Succeed())
		}
		g.Expect(len(chunks) == 1 || answer <= maxBytes).To(BeTrue())
		size += answer
	}
	document, err = assembly.Document()
	g.Expect(err).NotTo(HaveOccurred())
	return document, size
}

// Guards against a document that is not the one of the source after any sequence of
// versions, and against answers that exceed their limit.
func TestTransferOfAnyDocument(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		var have []byte
		var source *Source
		for range rapid.IntRange(1, 4).Draw(t, "versions") {
			blocks := rapid.SliceOfN(rapid.SliceOfN(rapid.Byte(), 0, 3000), 0, 20).Draw(t, "blocks")
			document := bytes.Join(blocks, have[:len(have)/2])
			next, err := NewSource(document, source)
			g.Expect(err).NotTo(HaveOccurred())
			received, _ := transfer(g, next, have, nil, 4<<10)
			g.Expect(bytes.Equal(received, document)).To(BeTrue())
			have, source = document, next
		}
	})
}

// Guards against a transfer whose bytes grow with the document instead of the change:
// one changed, added or removed route costs a few chunks at any place.
func TestBytesOfATransferFollowTheChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		routes := make([][]byte, rapid.IntRange(500, 3000).Draw(t, "routes"))
		seed := rapid.Uint32().Draw(t, "seed")
		for i := range routes {
			routes[i] = fmt.Appendf(nil, `{"name":"r-%08x","pathPrefix":"/%08x/","kind":"streaming","timeoutMs":15000,"service":"s%d"}`, seed+uint32(i)*2654435761, seed^uint32(i)*40503, i%3)
		}
		before := bytes.Join(routes, []byte(","))
		source, err := NewSource(before, nil)
		g.Expect(err).NotTo(HaveOccurred())
		at := rapid.IntRange(0, len(routes)-1).Draw(t, "at")
		changed := append([][]byte{}, routes[:at]...)
		if rapid.Bool().Draw(t, "replaced") {
			changed = append(changed, []byte(`{"name":"new","pathPrefix":"/new/"}`))
		}
		after := bytes.Join(append(changed, routes[at+1:]...), []byte(","))
		next, err := NewSource(after, source)
		g.Expect(err).NotTo(HaveOccurred())
		received, size := transfer(g, next, before, nil, 24<<10)
		g.Expect(bytes.Equal(received, after)).To(BeTrue())
		g.Expect(size).To(BeNumerically("<=", len(next.Manifest.Chunks)+2*maxChunkBytes))
	})
}

// Guards against a transfer that starts again from its beginning after a failure.
func TestInterruptedTransferKeepsItsChunks(t *testing.T) {
	g := NewWithT(t)
	document := make([]byte, 200<<10)
	for i := range document {
		document[i] = byte(i * i >> 7)
	}
	source, err := NewSource(document, nil)
	g.Expect(err).NotTo(HaveOccurred())
	partial, err := NewAssembly(source.Manifest, nil, nil)
	g.Expect(err).NotTo(HaveOccurred())
	first := partial.Missing(64)
	chunks, _ := source.Packed(first[:len(first)/2], len(document))
	for i, chunk := range chunks {
		g.Expect(partial.Add(first[i], chunk)).To(Succeed())
	}
	resumed, err := NewAssembly(source.Manifest, nil, partial)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resumed.Missing(64)).To(Equal(first[len(first)/2:]))
}

// Guards against chunks and manifests of a faulty sender that are taken for a document.
func TestCorruptTransferIsNotADocument(t *testing.T) {
	g := NewWithT(t)
	source, err := NewSource([]byte("a document"), nil)
	g.Expect(err).NotTo(HaveOccurred())
	assembly, err := NewAssembly(source.Manifest, nil, nil)
	g.Expect(err).NotTo(HaveOccurred())
	id := assembly.Missing(1)[0]
	var corrupt *CorruptError
	for _, packed := range [][]byte{nil, []byte("no deflate stream"), source.packed[id][:3]} {
		g.Expect(errors.As(assembly.Add(id, packed), &corrupt)).To(BeTrue())
	}
	_, err = assembly.Document()
	g.Expect(errors.As(err, &corrupt)).To(BeTrue())
	for _, m := range []Manifest{{}, {Digest: make([]byte, 32), Chunks: make([]byte, 5)}, {Digest: make([]byte, 32), Size: MaxDocumentBytes + 1}} {
		_, err = NewAssembly(m, nil, nil)
		g.Expect(errors.As(err, &corrupt)).To(BeTrue())
	}
}
