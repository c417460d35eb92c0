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
	// shareInterval is how often announcements are passed to other replicas.
	shareInterval = 400 * time.Millisecond
	// shareTimeout bounds one call; the next one brings the same again.
	shareTimeout = 700 * time.Millisecond
)

// NotHeldError says that too few replicas hold an announcement.
type NotHeldError struct{ Held, Needed int }

// Error implements error.
func (e *NotHeldError) Error() string {
	return fmt.Sprintf("announcement held by %d replicas, %d needed", e.Held, e.Needed)
}

// Announce takes an announcement of an endpoint. One that it drains returns
// once a majority of the replicas holds it, or a *NotHeldError.
func (s *State) Announce(ctx context.Context, e registry.Endpoint) error {
	now := time.Now()
	changed := s.registry.Announce(e, now)
	if changed {
		s.log.Info("Endpoint announced.", zap.String("endpoint", e.ID), zap.String("service", e.Service),
			zap.String("address", e.Address), zap.Uint8("state", uint8(e.State)), zap.Uint64("seq", e.Seq), zap.Int64("born", e.Born))
	}
	if e.State == registry.Ready {
		return nil
	}
	return s.spread(ctx, e)
}

// Withdraw takes the word of an endpoint that it leaves. The error is as for Announce.
func (s *State) Withdraw(ctx context.Context, id string) error {
	now := time.Now()
	e := s.registry.Withdraw(id, s.clock.Now().UnixMilli(), now)
	s.log.Info("Endpoint withdrawn.", zap.String("endpoint", id), zap.String("service", e.Service), zap.Int64("born", e.Born))
	return s.spread(ctx, e)
}

// spread tells all replicas and waits for a majority.
func (s *State) spread(ctx context.Context, e registry.Endpoint) error {
	members := s.members()
	others, _ := without(members, s.address)
	needed := len(members)/2 + 1
	held := 1
	acks := make(chan bool, len(others))
	sightings := []registry.Sighting{{Endpoint: e}}
	for _, address := range others {
		go func() { acks <- s.share(address, sightings) == nil }()
	}
	for range others {
		if held >= needed {
			return nil
		}
		select {
		case ok := <-acks:
			if ok {
				held++
			}
		case <-ctx.Done():
			return &NotHeldError{Held: held, Needed: needed}
		}
	}
	if held < needed || len(members) == 0 {
		return &NotHeldError{Held: held, Needed: needed}
	}
	return nil
}

func (s *State) share(address string, list []registry.Sighting) error {
	params, err := link.Encode(&link.ShareRequest{Sightings: list})
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

// shareLoop passes on what arrived since the last time, and compares clocks.
func (s *State) shareLoop() {
	s.every(shareInterval, func(now time.Time) {
		s.clock.Observe(s.address, time.Now(), bootclock.Now())
		fresh := s.registry.Own(now, shareInterval+shareInterval/2)
		others, _ := without(s.members(), s.address)
		var group sync.WaitGroup
		for _, address := range others {
			group.Go(func() {
				// A replica that cannot be reached gets later announcements.
				if err := s.share(address, fresh); err != nil {
					s.log.Debug("Announcements not passed on.", zap.String("replica", address), zap.Error(err))
				}
			})
		}
		group.Wait()
	})
}

// handleShare takes announcements that another replica received.
func (s *State) handleShare(_ context.Context, params []byte) ([]byte, error) {
	request := &link.ShareRequest{}
	if err := link.Decode(params, request); err != nil {
		return nil, err
	}
	now := time.Now()
	for i := range request.Sightings {
		one := &request.Sightings[i]
		s.registry.Merge(one.Endpoint, now.Add(-time.Duration(one.AgeMS)*time.Millisecond))
	}
	return link.Encode(&link.ShareReply{ClockNS: time.Now().UnixNano()})
}
