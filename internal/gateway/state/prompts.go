package state

import (
	"context"
	"time"

	"github.com/boragelead/boragelead/internal/gateway/link"
	"github.com/boragelead/boragelead/internal/wait"
)

const (
	// maxPromptsWait bounds how long a reader of the feed of prompts waits.
	maxPromptsWait = time.Second
	// promptsBatchDelay is how long further prompts are collected for a reader that waits.
	promptsBatchDelay = 20 * time.Millisecond
)

// handlePromptsNotice adds the long prompts that an entry has sent to endpoints.
func (s *State) handlePromptsNotice(_ context.Context, params []byte) ([]byte, error) {
	notice := &link.PromptsNotice{}
	if err := link.Decode(params, notice); err != nil {
		return nil, err
	}
	s.prompts.Add(notice.Entry, notice.Prompts, time.Now())
	return nil, nil
}

// handlePrompts replies with the long prompts of other entries. Without any it replies when
// there are some or when the wait of the request has passed.
func (s *State) handlePrompts(ctx context.Context, params []byte) ([]byte, error) {
	request := &link.PromptsRequest{}
	if err := link.Decode(params, request); err != nil {
		return nil, err
	}
	position := request.Position
	if request.ReplicaRun != s.runID {
		position = 0
	}
	timer := time.NewTimer(min(time.Duration(request.WaitMS)*time.Millisecond, maxPromptsWait))
	defer timer.Stop()
	for {
		list, next, changed := s.prompts.Since(request.Entry, position, time.Now())
		if len(list) > 0 {
			return link.Encode(&link.PromptsReply{ReplicaRun: s.runID, Position: next, Prompts: list})
		}
		position = next
		select {
		case <-changed:
			wait.For(ctx, promptsBatchDelay)
			continue
		case <-timer.C:
		case <-ctx.Done():
		}
		return link.Encode(&link.PromptsReply{ReplicaRun: s.runID, Position: position})
	}
}
