package entry

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/boragelead/boragelead/internal/core/member"
	"github.com/boragelead/boragelead/internal/port"
)

const (
	// methodCrashRecords is the method by which daemons send each other the
	// records of requests that crashed endpoints.
	methodCrashRecords = "entry.marks"
	// crashRecordsTimeout limits the call to one daemon.
	crashRecordsTimeout = time.Second
)

// crashRecordsMessage tells other daemons which requests crashed endpoints. The
// periodic exchange stays within a failure domain. Without this message, a
// request that its caller resends would crash endpoints in each failure domain
// anew.
type crashRecordsMessage struct {
	Records []byte `json:"marks"`
	// Relay asks the receiver to forward the records to the peers of its
	// failure domain.
	Relay bool `json:"relay"`
}

// broadcastCrashRecords sends the crash records to the peers and to a relay of
// each other failure domain. It waits until all have answered or timed out.
func (s *Service) broadcastCrashRecords() {
	records, err := s.tracker.Payload(false, time.Now())
	if err != nil {
		s.log.Warn("Crash records could not be encoded and were not sent.", zap.Error(err))
		return
	}
	var group sync.WaitGroup
	for _, view := range s.options.Cluster.Domains(time.Now()) {
		group.Go(func() { s.sendToDomain(&view, records) })
	}
	s.sendToPeers(records)
	group.Wait()
}

// sendToDomain sends the records to the first relay of a failure domain that
// answers.
func (s *Service) sendToDomain(view *member.DomainView, records []byte) {
	for _, relay := range view.Relays {
		if s.sendCrashRecords(relay.Address, crashRecordsMessage{Records: records, Relay: true}) {
			return
		}
	}
}

func (s *Service) sendToPeers(records []byte) {
	var group sync.WaitGroup
	for _, peer := range s.livePeers() {
		group.Go(func() { s.sendCrashRecords(peer.Address, crashRecordsMessage{Records: records}) })
	}
	group.Wait()
}

// sendCrashRecords sends a message to one daemon and reports whether the daemon
// accepted it.
func (s *Service) sendCrashRecords(address string, message crashRecordsMessage) bool {
	params, err := json.Marshal(message)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(s.ctx, crashRecordsTimeout)
	defer cancel()
	_, err = s.options.Peers.Call(ctx, address, methodCrashRecords, params)
	return err == nil
}

// receiveCrashRecords merges the crash records of another daemon.
func (s *Service) receiveCrashRecords(_ context.Context, params []byte) ([]byte, error) {
	var message crashRecordsMessage
	if err := json.Unmarshal(params, &message); err != nil {
		return nil, err
	}
	if _, err := s.tracker.Merge(message.Records, time.Now()); err != nil {
		return nil, err
	}
	if message.Relay {
		s.goroutines.Go(func() { s.sendToPeers(message.Records) })
	}
	return nil, nil
}

// registerCrashRecords registers the method by which crash records arrive.
func (s *Service) registerCrashRecords(server port.PeerServer) {
	server.Handle(methodCrashRecords, s.receiveCrashRecords)
}
