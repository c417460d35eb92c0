package enginehttp

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	. "github.com/onsi/gomega"

	"github.com/boragelead/boragelead/api/endpoint"
)

const tokenLine = `{"a":"0f9619ff-8b86-d011-b42d-00cf4fc964ff","t":"tokens","o":1234,"n":1,"x":" w2x"}` + "\n"

// Guards against a parseTokenFrame that decodes a line differently from
// encoding/json, or accepts a line that is not valid JSON.
func FuzzScannerAgainstJSON(f *testing.F) {
	for _, seed := range []string{
		tokenLine, `{"a":"a","t":"done","o":3,"finish":"length","usage":{"prompt_tokens":1}}`,
		`{"a":"a","t":"tokens","o":01,"n":1,"x":""}`, `{"a":"a","t":"tokens","o":1,"n":1,"x":"\u00e9\n"}`,
		`{"a":"\xff","t":"tokens","o":1,"n":1,"x":"é"}`, `{"a":"a","t":"tokens","o":1e3,"n":-1,"x":"a"}`,
		`{"a":"a","t":"tokens","o":99999999999999999999,"n":1,"x":"a"} `, `{"a":"a","t":"tokens","o":1,"n":1,"x":"a"}}`, `{"a":"`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, line []byte) {
		g := NewWithT(t)
		line, _, _ = bytes.Cut(line, []byte("\n"))
		var want, got endpoint.Frame
		wantErr := json.Unmarshal(line, &want)
		s := newScanner(bytes.NewReader(append(bytes.Clone(line), '\n')))
		gotErr := s.next(&got)
		g.Expect(gotErr == nil).To(Equal(wantErr == nil), "json: %v, scanner: %v", wantErr, gotErr)
		if wantErr == nil {
			g.Expect(got).To(Equal(want))
		}
	})
}

// Guards against lost or corrupted frames when a read ends inside a frame, a
// frame is larger than the buffer, or later frames reuse the buffer.
func TestScannerPreservesFramesAcrossReads(t *testing.T) {
	long := strings.Repeat("x", 3*frameBufferBytes)
	var input bytes.Buffer
	var want []endpoint.Frame
	for i := range 500 {
		frame := endpoint.Frame{AttemptID: "a", Type: endpoint.FrameTokens, Offset: i, Count: 1, Text: " w" + string(rune('a'+i%26))}
		if i%100 == 50 {
			frame.Text = long
		}
		want = append(want, frame)
		data, _ := json.Marshal(frame)
		input.Write(append(data, '\n'))
	}
	for _, reader := range []func(io.Reader) io.Reader{iotest.OneByteReader, iotest.HalfReader, iotest.DataErrReader} {
		g := NewWithT(t)
		s := newScanner(reader(bytes.NewReader(input.Bytes())))
		got := make([]endpoint.Frame, len(want))
		for i := range got {
			g.Expect(s.next(&got[i])).To(Succeed())
		}
		g.Expect(got).To(Equal(want))
		g.Expect(s.next(&got[0])).To(MatchError(io.EOF))
	}
}

// Guards against an endpoint that exhausts the memory of the entry with one
// endless line.
func TestScannerLimitsFrameSize(t *testing.T) {
	s := newScanner(strings.NewReader(strings.Repeat("x", 2*maxFrameBytes)))
	var frame endpoint.Frame
	var tooLong *FrameTooLongError
	NewWithT(t).Expect(errors.As(s.next(&frame), &tooLong)).To(BeTrue())
}

// repeatedLines is an endless input that repeats tokenLine.
type repeatedLines struct{ rest string }

// Read implements io.Reader.
func (l *repeatedLines) Read(p []byte) (int, error) {
	if l.rest == "" {
		l.rest = strings.Repeat(tokenLine, 20)
	}
	n := copy(p, l.rest)
	l.rest = l.rest[n:]
	return n, nil
}

func BenchmarkScanner(b *testing.B) {
	s := newScanner(&repeatedLines{})
	var frame endpoint.Frame
	b.ReportAllocs()
	for b.Loop() {
		if err := s.next(&frame); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkEncodingJSON(b *testing.B) {
	s := newScanner(&repeatedLines{})
	b.ReportAllocs()
	for b.Loop() {
		line, err := s.line()
		if err != nil {
			b.Fatal(err)
		}
		var frame endpoint.Frame
		if err := json.Unmarshal(line, &frame); err != nil {
			b.Fatal(err)
		}
	}
}
