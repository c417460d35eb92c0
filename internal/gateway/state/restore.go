package state

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"math"
	"os"
	"path/filepath"
	"time"

	"go.uber.org/zap"

	"github.com/boragelead/boragelead/internal/gateway/link"
	"github.com/boragelead/boragelead/internal/gateway/registry"
	"github.com/boragelead/boragelead/internal/settings"
)

const (
	// registryFile is the name of the file that keeps the registry across restarts.
	// It is not part of the replicated state: if it is lost, endpoints are unknown
	// until they announce themselves again.
	registryFile     = "endpoints"
	saveInterval     = time.Second
	registryFileMode = 0o600
	// restoredHeartbeats is the lease of a restored endpoint, in heartbeat
	// intervals. It is shorter than missedHeartbeats, because the endpoint may have
	// left while the replica was down.
	restoredHeartbeats = 2
	// restoredHistory is the time before the start for which the saved endpoints hold
	// the software versions that served.
	restoredHistory = time.Minute
)

// DamagedError reports that the checksum of a file does not match its content.
type DamagedError struct{ Name string }

// Error implements error.
func (e *DamagedError) Error() string { return fmt.Sprintf("file %s is damaged", e.Name) }

func (s *State) registryPath() string {
	return filepath.Join(s.options.Settings.DataFolder, registryFile)
}

// saveEndpoints writes the registry to a file if it has changed. The file is not
// synced to disk: after a power failure, an incomplete file is detected by its
// checksum.
func (s *State) saveEndpoints(now time.Time) {
	all, _ := s.registry.Since(0, math.MaxInt)
	if all.Version == s.savedVersion {
		return
	}
	s.savedVersion = all.Version
	request := &link.ShareRequest{}
	for i := range all.Views {
		if !all.Views[i].Expired {
			request.Announcements = append(request.Announcements, registry.ReceivedAnnouncement{Endpoint: all.Views[i].Endpoint})
		}
	}
	data, err := link.Encode(request)
	if err == nil {
		data = binary.LittleEndian.AppendUint32(data, crc32.ChecksumIEEE(data))
		temporary := s.registryPath() + ".new"
		if err = os.WriteFile(temporary, data, registryFileMode); err == nil {
			err = os.Rename(temporary, s.registryPath())
		}
	}
	if err != nil {
		s.log.Warn("Endpoints not saved.", zap.Error(err))
	}
}

// restoreEndpoints loads the endpoints that the last run saved. They expire soon
// unless they announce themselves again.
func (s *State) restoreEndpoints() {
	data, err := os.ReadFile(s.registryPath())
	if os.IsNotExist(err) {
		return
	}
	request := &link.ShareRequest{}
	if err == nil {
		err = decodeRegistryFile(data, request)
	}
	if err != nil {
		s.log.Warn("Saved endpoints not restored.", zap.Error(err))
		return
	}
	heartbeat := settings.Millis(s.options.Settings.Bounds.HeartbeatMS)
	seenAt := time.Now().Add(-(missedHeartbeats - restoredHeartbeats) * heartbeat)
	s.merge(request.Announcements, seenAt)
	// The saved endpoints include those that left while the replica was down.
	s.recordedSince = s.started.Add(-restoredHistory)
	s.log.Info("Saved endpoints restored.", zap.Int("endpoints", len(request.Announcements)))
}

func decodeRegistryFile(data []byte, request *link.ShareRequest) error {
	if len(data) < crc32.Size {
		return &DamagedError{Name: registryFile}
	}
	body, sum := data[:len(data)-crc32.Size], binary.LittleEndian.Uint32(data[len(data)-crc32.Size:])
	if crc32.ChecksumIEEE(body) != sum {
		return &DamagedError{Name: registryFile}
	}
	return link.Decode(body, request)
}
