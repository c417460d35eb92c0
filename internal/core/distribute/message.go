package distribute

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/boragelead/boragelead/internal/port"
)

// Methods between daemons, served by the I/O layer.
const (
	MethodPush   = "config.push"
	MethodPull   = "config.pull"
	MethodStatus = "config.status"
)

// maxDocumentBytes bounds a document after decompression.
const maxDocumentBytes = 16 << 20

// Push carries a generation to another daemon.
type Push struct {
	Number      uint64
	Digest      string
	Operator    string
	OperationID string
	// Flate is set when Document is compressed.
	Flate    bool
	Document []byte
	// Relay asks the receiver to pass the generation on to its failure domain.
	Relay bool
}

// PullRequest asks for a generation higher than Have.
type PullRequest struct{ Have uint64 }

// DaemonStatus is the configuration status of one daemon.
type DaemonStatus struct {
	Name   string `json:"name"`
	Domain string `json:"failure_domain"`
	// Generation is the number of the generation in force; 0 means none.
	Generation uint64 `json:"generation"`
	// Answers is false for a daemon that did not answer the query.
	Answers bool `json:"answers"`
	// SourceAgeMS is the age of the last contact with the configuration source, in
	// milliseconds; -1 if there was none.
	SourceAgeMS int64 `json:"source_age_ms"`
	// Failure is the reason why a newer generation could not be installed.
	Failure string `json:"failure,omitempty"`
}

// StatusRequest asks a daemon for its status. With Domain set it asks for the
// status of all daemons of its failure domain.
type StatusRequest struct{ Domain bool }

// Encode encodes a push. It compresses the document if that makes it smaller.
func Encode(g port.Generation, relay bool) []byte {
	p := Push{
		Number: g.Number, Digest: g.Digest, Operator: g.Operator, OperationID: g.OperationID,
		Document: g.Document, Relay: relay,
	}
	if compressed := deflate(g.Document); len(compressed) < len(g.Document) {
		p.Document = compressed
		p.Flate = true
	}
	return Marshal(&p)
}

// Decode decodes a push.
func Decode(data []byte) (g port.Generation, relay bool, err error) {
	var p Push
	if err := Unmarshal(data, &p); err != nil {
		return g, false, err
	}
	if p.Flate {
		if p.Document, err = inflate(p.Document); err != nil {
			return g, false, &DecodeError{Err: err}
		}
	}
	g = port.Generation{
		Number: p.Number, Digest: p.Digest, Operator: p.Operator, OperationID: p.OperationID, Document: p.Document,
	}
	return g, p.Relay, nil
}

// Marshal encodes a message of this package.
func Marshal(v any) []byte {
	// Encoding cannot fail for the types of this package.
	data, _ := msgpack.Marshal(v)
	return data
}

// Unmarshal decodes a message of this package. The error is a *DecodeError.
func Unmarshal(data []byte, into any) error {
	if err := msgpack.Unmarshal(data, into); err != nil {
		return &DecodeError{Err: err}
	}
	return nil
}

func deflate(document []byte) []byte {
	var buffer bytes.Buffer
	// The errors are ignored because the level is valid and writes to a
	// bytes.Buffer do not fail.
	w, _ := flate.NewWriter(&buffer, flate.DefaultCompression)
	_, _ = w.Write(document)
	_ = w.Close()
	return buffer.Bytes()
}

func inflate(compressed []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(compressed))
	document, err := io.ReadAll(io.LimitReader(r, maxDocumentBytes+1))
	if err != nil {
		return nil, err
	}
	if len(document) > maxDocumentBytes {
		return nil, &SizeError{Limit: maxDocumentBytes}
	}
	return document, nil
}
