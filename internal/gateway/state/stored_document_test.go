package state

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a log that carries documents of many similar routes uncompressed, and
// against documents of earlier builds or damaged ones that are read wrongly.
func TestStoredDocument(t *testing.T) {
	g := NewWithT(t)
	var routes strings.Builder
	for i := range 1400 {
		fmt.Fprintf(&routes, `{"name":"r-%08x","host":"h%d.example","pathPrefix":"/%08x/","kind":"streaming","timeoutMs":15000},`, i*2654435761, i%40, i*40503)
	}
	document := []byte(routes.String())
	stored, err := compressDocument(document)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(stored)).To(BeNumerically("<", len(document)/4))
	g.Expect(decompressDocument(stored)).To(Equal(document))
	g.Expect(decompressDocument([]byte(`{"version":1}`))).To(BeEquivalentTo(`{"version":1}`))
	_, err = decompressDocument(stored[:len(stored)/2])
	g.Expect(err).To(HaveOccurred())
}
