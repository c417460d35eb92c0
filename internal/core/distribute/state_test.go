package distribute

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/boragelead/boragelead/internal/port"
)

func generation(number uint64, document []byte) port.Generation {
	sum := sha256.Sum256(document)
	return port.Generation{Number: number, Document: document, Digest: hex.EncodeToString(sum[:]), Operator: "op", OperationID: "id"}
}

// Guards against a generation number that decreases and a generation that is
// installed twice, in any order of arrival and with failed installations.
func TestGenerationNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var last uint64
		fail := false
		s := New(func(g port.Generation) error {
			if fail {
				return errors.New("invalid document")
			}
			if g.Number <= last {
				t.Fatalf("generation %d was installed after generation %d", g.Number, last)
			}
			last = g.Number
			return nil
		})
		for range rapid.IntRange(1, 30).Draw(t, "pushes") {
			fail = rapid.Bool().Draw(t, "fail")
			g := generation(rapid.Uint64Range(1, 20).Draw(t, "number"), []byte("x"))
			if rapid.Bool().Draw(t, "forged") {
				g.Digest = "00"
			}
			_, _ = s.Accept(g, time.Unix(0, 0))
			if s.Current().Number != last {
				t.Fatalf("current generation is %d, but generation %d was installed last", s.Current().Number, last)
			}
		}
	})
}

// Guards against pulls that repeat too fast, and against a daemon that keeps the
// longer wait after a first generation was reported.
func TestPullDue(t *testing.T) {
	g := gomega.NewWithT(t)
	s := New(func(port.Generation) error { return nil })
	now := time.Unix(0, 0)
	g.Expect(s.PullDue(0, now)).To(gomega.BeFalse())
	now = now.Add(pullDelay)
	g.Expect(s.PullDue(0, now)).To(gomega.BeTrue())
	g.Expect(s.PullDue(0, now.Add(pullRetry))).To(gomega.BeFalse())
	g.Expect(s.PullDue(3, now.Add(pullRetry))).To(gomega.BeTrue())
	g.Expect(s.PullDue(3, now.Add(pullRetry))).To(gomega.BeFalse())
	_, err := s.Accept(generation(3, []byte("x")), now)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(s.PullDue(3, now.Add(time.Hour))).To(gomega.BeFalse())
}

// Guards against documents that change in transit, and against a decoder that
// panics or decompresses without a limit.
func FuzzDecode(f *testing.F) {
	for _, document := range [][]byte{[]byte("{}"), bytes.Repeat([]byte("ab"), 4000)} {
		g := generation(7, document)
		message := Encode(g, true)
		decoded, relay, err := Decode(message)
		if err != nil || !relay || !bytes.Equal(decoded.Document, document) || decoded.Digest != g.Digest {
			f.Fatalf("decoded message differs from the encoded one: %v", err)
		}
		f.Add(message)
	}
	var sizeErr *SizeError
	if _, _, err := Decode(Encode(generation(8, make([]byte, maxDocumentBytes+1)), false)); !errors.As(err, &sizeErr) {
		f.Fatalf("decoding a document over the size limit: got %v, want a *SizeError", err)
	}
	f.Fuzz(func(_ *testing.T, data []byte) { _, _, _ = Decode(data) })
}
