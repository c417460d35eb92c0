package state

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"

	"github.com/rotisserie/eris"

	"github.com/boragelead/boragelead/internal/gateway/docsync"
)

// DocumentTooLargeError reports that a document is larger than Limit bytes and could not
// be sent to entries.
type DocumentTooLargeError struct{ Limit int }

// Error implements error.
func (e *DocumentTooLargeError) Error() string {
	return fmt.Sprintf("document exceeds %d bytes", e.Limit)
}

// gzipMagic begins every compressed document. Documents of earlier builds are stored as
// they are; they begin with a brace or white space.
var gzipMagic = []byte{0x1f, 0x8b}

// compressDocument returns a document in the form in which the log stores it. It is
// compressed once, by the replica that receives it, because every member sends, holds and
// writes what the log stores. The error is a *DocumentTooLargeError.
func compressDocument(data []byte) ([]byte, error) {
	if len(data) > docsync.MaxDocumentBytes {
		return nil, &DocumentTooLargeError{Limit: docsync.MaxDocumentBytes}
	}
	var packed bytes.Buffer
	writer, err := gzip.NewWriterLevel(&packed, gzip.BestSpeed)
	if err != nil {
		return nil, eris.Wrap(err, "create compressor")
	}
	if _, err := writer.Write(data); err != nil {
		return nil, eris.Wrap(err, "compress document")
	}
	if err := writer.Close(); err != nil {
		return nil, eris.Wrap(err, "compress document")
	}
	return packed.Bytes(), nil
}

// decompressDocument returns a document as it was put.
func decompressDocument(stored []byte) ([]byte, error) {
	if !bytes.HasPrefix(stored, gzipMagic) {
		return stored, nil
	}
	reader, err := gzip.NewReader(bytes.NewReader(stored))
	if err != nil {
		return nil, eris.Wrap(err, "decompress document")
	}
	data, err := io.ReadAll(io.LimitReader(reader, docsync.MaxDocumentBytes+1))
	if err != nil {
		return nil, eris.Wrap(err, "decompress document")
	}
	if len(data) > docsync.MaxDocumentBytes {
		return nil, &DocumentTooLargeError{Limit: docsync.MaxDocumentBytes}
	}
	return data, nil
}
