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
	// minKeyBytes is the length of a key: shorter ones are weaker than the code.
	minKeyBytes = 32
	// codeBytes of the authentication code are sent with each datagram. NIST SP
	// 800-107 allows to cut HMAC-SHA256 down to half of its length.
	codeBytes = 16
)

// KeyError says why a key file cannot be used.
type KeyError struct {
	Path   string
	Reason string
}

// Error implements error.
func (e *KeyError) Error() string { return fmt.Sprintf("key file %s: %s", e.Path, e.Reason) }

// Keys authenticate datagrams. The first one signs and each is accepted, so
// that a key can be replaced while daemons restart one after the other.
type Keys struct{ secrets [][]byte }

// LoadKeys reads a file with one key a line, in hexadecimal. The error is a *KeyError.
func LoadKeys(path string) (*Keys, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &KeyError{Path: path, Reason: err.Error()}
	}
	keys := &Keys{}
	lines := bufio.NewScanner(bytes.NewReader(data))
	for number := 1; lines.Scan(); number++ {
		text := strings.TrimSpace(lines.Text())
		if text == "" {
			continue
		}
		secret, err := hex.DecodeString(text)
		if err != nil || len(secret) < minKeyBytes {
			return nil, &KeyError{Path: path, Reason: fmt.Sprintf("line %d is not a key of %d or more bytes in hexadecimal", number, minKeyBytes)}
		}
		keys.secrets = append(keys.secrets, secret)
	}
	if err := lines.Err(); err != nil {
		return nil, &KeyError{Path: path, Reason: err.Error()}
	}
	if len(keys.secrets) == 0 {
		return nil, &KeyError{Path: path, Reason: "holds no key"}
	}
	return keys, nil
}

// seal returns a datagram with its authentication code.
func (k *Keys) seal(data []byte) []byte {
	if k == nil {
		return data
	}
	return append(bytes.Clone(data), code(k.secrets[0], data)...)
}

// open returns a datagram without its code, and false where none of the keys fits.
func (k *Keys) open(sealed []byte) ([]byte, bool) {
	if k == nil {
		return sealed, true
	}
	if len(sealed) < codeBytes {
		return nil, false
	}
	data, given := sealed[:len(sealed)-codeBytes], sealed[len(sealed)-codeBytes:]
	for _, secret := range k.secrets {
		if hmac.Equal(given, code(secret, data)) {
			return data, true
		}
	}
	return nil, false
}

func code(secret, data []byte) []byte {
	mac := hmac.New(sha256.New, secret)
	_, _ = mac.Write(data)
	return mac.Sum(nil)[:codeBytes]
}
