// Package payload encodes the compact messages that entries exchange on behalf of
// the packages that make decisions. The encoding is msgpack with structs as arrays.
package payload

import (
	"bytes"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
)

// Encode returns the encoding of v. New fields of a message type must be appended,
// since fields are identified by their position.
func Encode(v any) ([]byte, error) {
	var buffer bytes.Buffer
	encoder := msgpack.NewEncoder(&buffer)
	encoder.UseArrayEncodedStructs(true)
	encoder.UseCompactInts(true)
	encoder.UseCompactFloats(true)
	if err := encoder.Encode(v); err != nil {
		return nil, eris.Wrap(err, "encode payload")
	}
	return buffer.Bytes(), nil
}

// Decode decodes data into v.
func Decode(data []byte, v any) error {
	return eris.Wrap(msgpack.Unmarshal(data, v), "decode payload")
}
