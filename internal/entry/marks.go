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
	// methodMarks carries the marks of requests that crashed endpoints.
	methodMarks = "entry.marks"
	// marksTimeout bounds the message to one daemon.
	marksTimeout = time.Second
)

// marksMessage tells other daemons which requests crashed endpoints. The
// periodic exchange stays within a failure domain; without this message each
// domain would lose endpoints of its own to a request that its caller resends.
type marksMessage struct {
	Marks []byte `json:"marks"`
	// Relay asks the receiver to pass the marks on to its failure domain.
	Relay bool `json:"relay"`
}

// tellMarks sends the marks to the peers and to a relay of each other failure
// domain, and waits until they know or their time is over.
func (s *Service) tellMarks() {
	marks, err := s.tracker.Payload(false, time.Now())
	if err != nil {
		s.log.Warn("Marks not encoded.", zap.Error(err))
		return
	}
	var group sync.WaitGroup
	for _, view := range s.options.Cluster.Domains(time.Now()) {
		group.Go(func() { s.tellDomain(&view, marks) })
	}
	s.tellPeers(marks)
	group.Wait()
}

func (s *Service) tellDomain(view *member.DomainView, marks []byte) {
	for _, relay := range view.Relays {
		if s.notify(relay.Address, marksMessage{Marks: marks, Relay: true}) {
			return
		}
	}
}

func (s *Service) tellPeers(marks []byte) {
	var group sync.WaitGroup
	for _, peer := range s.peersOf() {
		group.Go(func() { s.notify(peer.Address, marksMessage{Marks: marks}) })
	}
	group.Wait()
}

func (s *Service) notify(address string, message marksMessage) bool {
	params, err := json.Marshal(message)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(s.ctx, marksTimeout)
	defer cancel()
	_, err = s.options.Peers.Call(ctx, address, methodMarks, params)
	return err == nil
}

// takeMarks takes the marks of another daemon.
func (s *Service) takeMarks(_ context.Context, params []byte) ([]byte, error) {
	var message marksMessage
	if err := json.Unmarshal(params, &message); err != nil {
		return nil, err
	}
	if err := s.tracker.Merge(message.Marks, time.Now()); err != nil {
		return nil, err
	}
	if message.Relay {
		s.group.Go(func() { s.tellPeers(message.Marks) })
	}
	return nil, nil
}

// registerMarks registers the method by which marks arrive.
func (s *Service) registerMarks(server port.PeerServer) { server.Handle(methodMarks, s.takeMarks) }
