package conf

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
)

// Parse decodes and validates a document. The error is a *ValidationError
// that lists every mistake found.
func Parse(data []byte) (*Document, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	var doc Document
	if err := decoder.Decode(&doc); err != nil {
		return nil, &ValidationError{Problems: []Problem{{Path: "$", Message: err.Error()}}}
	}
	return &doc, nil
}

// Digest returns the SHA-256 of the canonical encoding of the document in hexadecimal.
func Digest(doc *Document) string {
	data, err := json.Marshal(doc)
	if err != nil {
		// Document holds only marshalable types.
		panic(err)
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}
