// Package streams remembers at which software version the streams of callers began, so
// that a stream that broke off goes on at the same version, also through another entry.
// It does no I/O.
package streams

import (
	"crypto/sha256"
	"sync"
	"time"
)

const (
	// rotation is the age at which origins begin to be dropped; they are gone after
	// twice that time. Callers take streams up within the timeouts of their routes.
	rotation = time.Minute
	// maxOrigins bounds the origins of one rotation. At the target size, 3,700 streams
	// begin in a second.
	maxOrigins = 262_144
	// maxVersions bounds the software versions that a table tells apart.
	maxVersions = 1024
)

// UnknownVersion is the version of streams whose endpoint may have started again at a
// version that was not announced yet. No endpoint announces it.
const UnknownVersion = "\x00"

// Key identifies a stream by the workspace of its caller and the attempt that received
// its first event.
type Key [16]byte

// NewKey returns the key of a stream.
func NewKey(workspace, attempt string) Key {
	sum := sha256.Sum256([]byte(workspace + "\x00" + attempt))
	return Key(sum[:len(Key{})])
}

// Origins lists streams that began at one software version.
type Origins struct {
	Version string `msgpack:"v"`
	Keys    []Key  `msgpack:"k"`
}

// Table holds the software versions of the newest streams. It is safe for concurrent
// use.
type Table struct {
	mu sync.Mutex
	// current holds the origins since rotatedAt, and previous those of the rotation
	// before.
	current, previous map[Key]string
	rotatedAt         time.Time
	// versions holds one copy of each version string.
	versions map[string]string
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{current: make(map[Key]string), versions: make(map[string]string)}
}

// Add records origins. The first version of a stream holds. dropped is the number of
// origins for which there is no room.
func (t *Table) Add(list []Origins, now time.Time) (dropped int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rotate(now)
	for _, origins := range list {
		version, ok := t.intern(origins.Version)
		for _, key := range origins.Keys {
			if _, known := t.lookup(key); known {
				continue
			}
			if !ok || len(t.current) >= maxOrigins {
				dropped++
				continue
			}
			t.current[key] = version
		}
	}
	return dropped
}

// Version returns the software version at which a stream began.
func (t *Table) Version(key Key, now time.Time) (version string, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rotate(now)
	return t.lookup(key)
}

// All returns all origins, in lists of at most limit keys.
func (t *Table) All(limit int, now time.Time) []Origins {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rotate(now)
	byVersion := make(map[string][]Key)
	for _, origins := range []map[Key]string{t.previous, t.current} {
		for key, version := range origins {
			byVersion[version] = append(byVersion[version], key)
		}
	}
	var list []Origins
	for version, keys := range byVersion {
		for len(keys) > 0 {
			n := min(limit, len(keys))
			list = append(list, Origins{Version: version, Keys: keys[:n:n]})
			keys = keys[n:]
		}
	}
	return list
}

func (t *Table) lookup(key Key) (version string, known bool) {
	if version, known = t.current[key]; known {
		return version, true
	}
	version, known = t.previous[key]
	return version, known
}

func (t *Table) rotate(now time.Time) {
	switch age := now.Sub(t.rotatedAt); {
	case age >= 2*rotation:
		t.previous, t.current = nil, make(map[Key]string)
	case age >= rotation:
		t.previous, t.current = t.current, make(map[Key]string)
	default:
		return
	}
	t.rotatedAt = now
	if len(t.versions) > maxVersions/2 {
		t.versions = make(map[string]string)
	}
}

func (t *Table) intern(version string) (stored string, ok bool) {
	if stored, ok = t.versions[version]; ok {
		return stored, true
	}
	if len(t.versions) >= maxVersions {
		return "", false
	}
	t.versions[version] = version
	return version, true
}
