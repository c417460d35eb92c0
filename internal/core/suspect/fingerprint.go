package suspect

import (
	"crypto/sha256"
	"encoding/binary"
)

// Fingerprint identifies the content of a request within its workspace, or a part
// of a prompt within its service. The bit partBit of the first byte tells which.
type Fingerprint [16]byte

const (
	partBit = 1
	// partDomain precedes the hashed content of a part, so that no request has the
	// same hash.
	partDomain = "\x00part\x00"
)

// NewFingerprint hashes the workspace and the content. No part of the content
// except the last may contain a zero byte, which separates the parts. The hash is
// cryptographic, so that no caller can construct a request with the fingerprint of
// another caller's request.
func NewFingerprint(workspace string, parts ...[]byte) Fingerprint {
	digest := sha256.New()
	_, _ = digest.Write([]byte(workspace))
	for _, part := range parts {
		_, _ = digest.Write([]byte{0})
		_, _ = digest.Write(part)
	}
	var sum [sha256.Size]byte
	digest.Sum(sum[:0])
	sum[0] &^= partBit
	return Fingerprint(sum[:16])
}

// NewPartFingerprint hashes the service and the ID of a prompt part that requests
// of several callers may share.
func NewPartFingerprint(service string, part uint64) Fingerprint {
	content := append([]byte(partDomain), service...)
	content = append(content, 0)
	sum := sha256.Sum256(binary.BigEndian.AppendUint64(content, part))
	sum[0] |= partBit
	return Fingerprint(sum[:16])
}

func (f Fingerprint) isPart() bool { return f[0]&partBit != 0 }
