package state

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/boragelead/boragelead/internal/gateway/link"
)

// handleOrigins records the software versions at which streams of an entry began.
func (s *State) handleOrigins(_ context.Context, params []byte) ([]byte, error) {
	notice := &link.OriginsNotice{}
	if err := link.Decode(params, notice); err != nil {
		return nil, err
	}
	if dropped := s.origins.Add(notice.Origins, time.Now()); dropped > 0 {
		s.log.Warn("Origins of streams not recorded; the table is full.", zap.Int("streams", dropped))
	}
	return nil, nil
}

// handleOrigin tells at which software version a stream began.
func (s *State) handleOrigin(_ context.Context, params []byte) ([]byte, error) {
	request := &link.OriginRequest{}
	if err := link.Decode(params, request); err != nil {
		return nil, err
	}
	version, known := s.origins.Version(request.Key, time.Now())
	return link.Encode(&link.OriginReply{Known: known, Version: version})
}
