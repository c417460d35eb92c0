package gossipudp

import (
	"bufio"
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"strings"
)

const (
	// minKeyBytes is the least length of a key. A shorter key would be weaker than the
	// authentication code.
	minKeyBytes = 32
	// macBytes is the length of the authentication code that is sent with each
	// datagram. NIST SP 800-107 allows HMAC-SHA256 to be truncated to half its length.
	macBytes = 16
)

// KeyError reports that a key file cannot be used, and why.
type KeyError struct {
	Path   string
	Reason string
}

// Error implements error.
func (e *KeyError) Error() string { return fmt.Sprintf("key file %s: %s", e.Path, e.Reason) }

// Keys authenticate datagrams. Outgoing datagrams are signed with the first key, and
// incoming ones are accepted with any key, so that a key can be replaced while the
// daemons are restarted one after the other.
type Keys struct{ secrets [][]byte }

// LoadKeys reads a file with one hexadecimal key per line. The error is a *KeyError.
func LoadKeys(path string) (*Keys, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &KeyError{Path: path, Reason: err.Error()}
	}
	keys := &Keys{}
	scanner := bufio.NewScanner(bytes.NewReader(data))
	for lineNumber := 1; scanner.Scan(); lineNumber++ {
		line := strings.TrimSpace(scanner.Text())
		if line == "" {
			continue
		}
		secret, err := hex.DecodeString(line)
		if err != nil || len(secret) < minKeyBytes {
			return nil, &KeyError{Path: path, Reason: fmt.Sprintf("line %d is not a key of %d or more bytes in hexadecimal", lineNumber, minKeyBytes)}
		}
		keys.secrets = append(keys.secrets, secret)
	}
	if err := scanner.Err(); err != nil {
		return nil, &KeyError{Path: path, Reason: err.Error()}
	}
	if len(keys.secrets) == 0 {
		return nil, &KeyError{Path: path, Reason: "contains no key"}
	}
	return keys, nil
}

// sign returns a datagram with the authentication code appended.
func (k *Keys) sign(data []byte) []byte {
	if k == nil {
		return data
	}
	return append(bytes.Clone(data), computeMAC(k.secrets[0], data)...)
}

// verify checks a datagram and returns it without its authentication code. It returns
// false if the code matches none of the keys.
func (k *Keys) verify(datagram []byte) ([]byte, bool) {
	if k == nil {
		return datagram, true
	}
	if len(datagram) < macBytes {
		return nil, false
	}
	data, mac := datagram[:len(datagram)-macBytes], datagram[len(datagram)-macBytes:]
	for _, secret := range k.secrets {
		if hmac.Equal(mac, computeMAC(secret, data)) {
			return data, true
		}
	}
	return nil, false
}

func computeMAC(secret, data []byte) []byte {
	mac := hmac.New(sha256.New, secret)
	_, _ = mac.Write(data)
	return mac.Sum(nil)[:macBytes]
}
