package suspect

import "crypto/sha256"

// Fingerprint identifies the content of a request within its workspace.
type Fingerprint [16]byte

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
	return Fingerprint(sum[:16])
}
