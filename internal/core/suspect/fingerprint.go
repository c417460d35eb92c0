package suspect

import "crypto/sha256"

// Fingerprint identifies the content of a request within its workspace.
type Fingerprint [16]byte

// NewFingerprint hashes workspace and content; parts of the content must not
// contain a zero byte, except the last. The hash is cryptographic, so that no
// caller can make another's request look like its own.
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
