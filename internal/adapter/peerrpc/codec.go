package peerrpc

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"io"
)

// maxFrameBytes bounds one message. A snapshot of the replicated state is the
// largest; base64 adds a third to it.
const maxFrameBytes = 64 << 20

// frameCodec writes a message as its length (uvarint) and its JSON text.
type frameCodec struct{}

// WriteObject implements jsonrpc2.ObjectCodec.
func (frameCodec) WriteObject(w io.Writer, object any) error {
	data, err := json.Marshal(object)
	if err != nil {
		return err
	}
	if len(data) > maxFrameBytes {
		return &FrameSizeError{Size: uint64(len(data)), Limit: maxFrameBytes}
	}
	var head [binary.MaxVarintLen64]byte
	if _, err := w.Write(head[:binary.PutUvarint(head[:], uint64(len(data)))]); err != nil {
		return err
	}
	_, err = w.Write(data)
	return err
}

// ReadObject implements jsonrpc2.ObjectCodec.
func (frameCodec) ReadObject(r *bufio.Reader, object any) error {
	size, err := binary.ReadUvarint(r)
	if err != nil {
		return err
	}
	if size > maxFrameBytes {
		return &FrameSizeError{Size: size, Limit: maxFrameBytes}
	}
	// The buffer grows with the bytes that arrive, so a false length costs no memory.
	var frame bytes.Buffer
	if _, err := io.CopyN(&frame, r, int64(size)); err != nil {
		return err
	}
	return json.Unmarshal(frame.Bytes(), object)
}
