package state

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"time"

	"go.uber.org/zap"

	"github.com/boragelead/boragelead/internal/gateway/link"
	"github.com/boragelead/boragelead/internal/gateway/registry"
	"github.com/boragelead/boragelead/internal/settings"
)

const (
	// memoryName is the file that holds the registry between two runs. It is no
	// part of the replicated state: losing it costs the time until the next
	// announcements.
	memoryName     = "endpoints"
	memoryInterval = time.Second
	memoryMode     = 0o600
	// memoryHeartbeats is how long a remembered endpoint counts without a new
	// announcement. One that left in the meantime must not stay.
	memoryHeartbeats = 2
)

// DamagedError says that a file does not hold what was written.
type DamagedError struct{ Name string }

// Error implements error.
func (e *DamagedError) Error() string { return fmt.Sprintf("file %s is damaged", e.Name) }

func (s *State) memoryPath() string { return filepath.Join(s.options.Settings.DataFolder, memoryName) }

// remember writes the registry where it changed. It is not synced: after a
// loss of power a torn file is recognised by its checksum.
func (s *State) remember(now time.Time) {
	list, change, _ := s.registry.Since(0)
	if change == s.remembered {
		return
	}
	s.remembered = change
	request := &link.ShareRequest{}
	for i := range list {
		if !list[i].Expired {
			request.Sightings = append(request.Sightings, registry.Sighting{Endpoint: list[i].Endpoint})
		}
	}
	data, err := link.Encode(request)
	if err == nil {
		data = binary.LittleEndian.AppendUint32(data, crc32.ChecksumIEEE(data))
		temporary := s.memoryPath() + ".new"
		if err = os.WriteFile(temporary, data, memoryMode); err == nil {
			err = os.Rename(temporary, s.memoryPath())
		}
	}
	if err != nil {
		s.log.Warn("Endpoints not remembered.", zap.Error(err))
	}
}

// recall takes the endpoints of an earlier run, until they announce themselves.
func (s *State) recall() {
	data, err := os.ReadFile(s.memoryPath())
	if os.IsNotExist(err) {
		return
	}
	request := &link.ShareRequest{}
	if err == nil {
		err = decodeMemory(data, request)
	}
	if err != nil {
		s.log.Warn("Endpoints not recalled.", zap.Error(err))
		return
	}
	heartbeat := settings.Millis(s.options.Settings.Bounds.HeartbeatMS)
	seen := time.Now().Add(-(missedHeartbeats - memoryHeartbeats) * heartbeat)
	for i := range request.Sightings {
		s.registry.Merge(request.Sightings[i].Endpoint, seen)
	}
	s.log.Info("Endpoints recalled.", zap.Int("endpoints", len(request.Sightings)))
}

func decodeMemory(data []byte, request *link.ShareRequest) error {
	if len(data) < crc32.Size {
		return &DamagedError{Name: memoryName}
	}
	body, sum := data[:len(data)-crc32.Size], binary.LittleEndian.Uint32(data[len(data)-crc32.Size:])
	if crc32.ChecksumIEEE(body) != sum {
		return &DamagedError{Name: memoryName}
	}
	return link.Decode(body, request)
}
