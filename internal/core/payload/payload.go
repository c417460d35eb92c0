// Package payload encodes the compact messages that the decision packages
// exchange between entries: msgpack with structs as arrays.
package payload

import (
	"bytes"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
)

// Encode returns the encoding of v. Fields can only be appended to a message
// type, since their order is their name.
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

// Decode reads an encoding into v.
func Decode(data []byte, v any) error {
	return eris.Wrap(msgpack.Unmarshal(data, v), "decode payload")
}
