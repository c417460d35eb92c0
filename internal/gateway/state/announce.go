package state

import (
	"context"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/boragelead/boragelead/internal/bootclock"
	"github.com/boragelead/boragelead/internal/gateway/link"
	"github.com/boragelead/boragelead/internal/gateway/registry"
)

const (
	// shareInterval is how often announcements are forwarded to other replicas.
	shareInterval = 400 * time.Millisecond
	// shareTimeout bounds one call. The announcements of a failed call are sent
	// again in a later one.
	shareTimeout = 700 * time.Millisecond
	// maxAnnouncementAge is an age at which every lease has ended.
	maxAnnouncementAge = time.Hour
)

// UnderReplicatedError reports that fewer than a majority of the replicas have
// stored an announcement.
type UnderReplicatedError struct{ Stored, Needed int }

// Error implements error.
func (e *UnderReplicatedError) Error() string {
	return fmt.Sprintf("announcement held by %d replicas, %d needed", e.Stored, e.Needed)
}

// Announce stores an announcement of an endpoint. If the endpoint is no longer
// ready, Announce returns after a majority of the replicas has stored the
// announcement, or fails with an *UnderReplicatedError. An invalid announcement fails with
// a *registry.InvalidEndpointError.
func (s *State) Announce(ctx context.Context, e registry.Endpoint) error {
	now := time.Now()
	if err := e.Check(now); err != nil {
		return err
	}
	changed := s.registry.Announce(e, now)
	if changed {
		s.log.Info("Endpoint announced.", zap.String("endpoint", e.ID), zap.String("service", e.Service),
			zap.String("address", e.Address), zap.Uint8("state", uint8(e.State)), zap.String("software_version", e.SoftwareVersion), zap.Uint64("seq", e.Seq), zap.Int64("born", e.Born))
	}
	if e.State == registry.Ready {
		return nil
	}
	return s.shareWithMajority(ctx, e)
}

// Withdraw records that an endpoint is gone. It waits and fails as Announce does
// for an endpoint that is not ready.
func (s *State) Withdraw(ctx context.Context, id string) error {
	now := time.Now()
	e := s.registry.Withdraw(id, s.clock.Now().UnixMilli(), now)
	s.log.Info("Endpoint withdrawn.", zap.String("endpoint", id), zap.String("service", e.Service), zap.Int64("born", e.Born))
	return s.shareWithMajority(ctx, e)
}

// handleDeparture announces endpoints that said in an answer to an entry that they leave.
func (s *State) handleDeparture(ctx context.Context, params []byte) ([]byte, error) {
	request := &link.DepartureRequest{}
	if err := link.Decode(params, request); err != nil {
		return nil, err
	}
	for _, e := range request.Endpoints {
		e.State = registry.Draining
		s.log.Info("Entry reports that an endpoint leaves.", zap.String("entry", request.Entry), zap.String("endpoint", e.ID), zap.Int64("born", e.Born))
		if err := s.Announce(ctx, e); err != nil {
			return nil, err
		}
	}
	return link.Encode(&link.DepartureReply{})
}

// shareWithMajority sends an announcement to all replicas and waits until a
// majority, including this replica, has stored it.
func (s *State) shareWithMajority(ctx context.Context, e registry.Endpoint) error {
	members := s.members()
	others, _ := removeAddress(members, s.address)
	needed := len(members)/2 + 1
	stored := 1
	acks := make(chan bool, len(others))
	announcements := []registry.ReceivedAnnouncement{{Endpoint: e}}
	for _, address := range others {
		go func() { acks <- s.share(address, announcements) == nil }()
	}
	for range others {
		if stored >= needed {
			return nil
		}
		select {
		case ok := <-acks:
			if ok {
				stored++
			}
		case <-ctx.Done():
			return &UnderReplicatedError{Stored: stored, Needed: needed}
		}
	}
	if stored < needed || len(members) == 0 {
		return &UnderReplicatedError{Stored: stored, Needed: needed}
	}
	return nil
}

func (s *State) share(address string, announcements []registry.ReceivedAnnouncement) error {
	params, err := link.Encode(&link.ShareRequest{Announcements: announcements})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(s.ctx, shareTimeout)
	defer cancel()
	data, err := s.options.RPC.Call(ctx, address, link.MethodShare, params)
	if err != nil {
		return err
	}
	reply := &link.ShareReply{}
	if err := link.Decode(data, reply); err != nil {
		return err
	}
	s.clock.Observe(address, time.Unix(0, reply.ClockNS), bootclock.Now())
	return nil
}

// shareLoop periodically forwards the announcements that arrived here recently.
// The same calls compare the clocks of the replicas.
func (s *State) shareLoop() {
	s.runEvery(shareInterval, func(now time.Time) {
		s.clock.Observe(s.address, time.Now(), bootclock.Now())
		recent := s.registry.RecentLocal(now, shareInterval+shareInterval/2)
		others, _ := removeAddress(s.members(), s.address)
		var group sync.WaitGroup
		for _, address := range others {
			group.Go(func() {
				// An unreachable replica is brought up to date by later announcements,
				// because endpoints repeat them.
				if err := s.share(address, recent); err != nil {
					s.log.Debug("Announcements not passed on.", zap.String("replica", address), zap.Error(err))
				}
			})
		}
		group.Wait()
	})
}

// handleShare merges announcements that another replica received.
func (s *State) handleShare(_ context.Context, params []byte) ([]byte, error) {
	request := &link.ShareRequest{}
	if err := link.Decode(params, request); err != nil {
		return nil, err
	}
	s.merge(request.Announcements, time.Now())
	return link.Encode(&link.ShareReply{ClockNS: time.Now().UnixNano()})
}

// merge merges announcements that arrived elsewhere or earlier, given the time from which
// their ages count. An invalid one is left out; the others hold.
func (s *State) merge(announcements []registry.ReceivedAnnouncement, now time.Time) {
	for i := range announcements {
		announcement := &announcements[i]
		if err := announcement.Endpoint.Check(time.Now()); err != nil {
			s.log.Warn("Announcement ignored.", zap.Error(err))
			continue
		}
		age := time.Duration(min(max(announcement.AgeMS, 0), maxAnnouncementAge.Milliseconds())) * time.Millisecond
		s.registry.Merge(announcement.Endpoint, now.Add(-age))
	}
}
