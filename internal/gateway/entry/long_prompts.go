package entry

import (
	"time"

	"github.com/boragelead/boragelead/internal/gateway/link"
	"github.com/boragelead/boragelead/internal/gateway/pick"
	"github.com/boragelead/boragelead/internal/gateway/prompts"
	"github.com/boragelead/boragelead/internal/wait"
)

const (
	// promptsSendDelay is how long further long prompts are collected for one notice.
	promptsSendDelay = 10 * time.Millisecond
	// promptsWait is how long a replica delays its answer while there are no long prompts.
	promptsWait = 900 * time.Millisecond
	// promptsTimeout limits a call for long prompts, including the delay.
	promptsTimeout = 1500 * time.Millisecond
	// promptsRetryPause is the pause after a failed call.
	promptsRetryPause = 200 * time.Millisecond
	// promptsQueue is the number of long prompts that wait to be sent. Further ones are not
	// sent to others.
	promptsQueue = 64
)

// longPrompts tells other entries, through the leader, of the long prompts that this one sends
// to endpoints, and learns of theirs.
type longPrompts struct {
	entry *Entry
	sent  chan prompts.Prompt
}

func newLongPrompts(e *Entry) *longPrompts {
	return &longPrompts{entry: e, sent: make(chan prompts.Prompt, promptsQueue)}
}

// note tells other entries of the prompt of an attempt that starts now, if it is long.
func (l *longPrompts) note(choice *pick.Choice) {
	if !l.entry.options.Settings.Placement.ShareLongPrompts {
		return
	}
	tokens, long := choice.LongPrompt()
	if !long {
		return
	}
	select {
	case l.sent <- prompts.Prompt{Endpoint: choice.Endpoint.ID, Tokens: tokens}:
		l.entry.metrics.promptsShared.Inc()
	default:
		l.entry.metrics.promptsUnshared.Inc()
	}
}

// sendLoop sends notices of long prompts.
func (l *longPrompts) sendLoop() {
	for {
		notice := &link.PromptsNotice{Entry: l.entry.options.Settings.Name}
		select {
		case p := <-l.sent:
			notice.Prompts = append(notice.Prompts, p)
		case <-l.entry.ctx.Done():
			return
		}
		wait.For(l.entry.ctx, promptsSendDelay)
		for len(l.sent) > 0 && len(notice.Prompts) < prompts.MaxItems {
			notice.Prompts = append(notice.Prompts, <-l.sent)
		}
		if err := l.entry.replicaClient.notifyLeader(l.entry.ctx, link.MethodPromptsNotice, notice); err != nil {
			// Other entries choose without them, as they do without a leader.
			l.entry.metrics.promptsUnshared.Add(int64(len(notice.Prompts)))
		}
	}
}

// receiveLoop learns of the long prompts of other entries.
func (l *longPrompts) receiveLoop() {
	e := l.entry
	request := &link.PromptsRequest{Entry: e.options.Settings.Name, WaitMS: promptsWait.Milliseconds()}
	for e.ctx.Err() == nil {
		reply := &link.PromptsReply{}
		if _, err := e.replicaClient.callLeaderWithin(e.ctx, promptsTimeout, link.MethodPrompts, request, reply); err != nil {
			wait.For(e.ctx, promptsRetryPause)
			continue
		}
		request.ReplicaRun, request.Position = reply.ReplicaRun, reply.Position
		now := time.Now()
		e.metrics.promptsLearned.Add(int64(len(reply.Prompts)))
		for i := range reply.Prompts {
			p := &reply.Prompts[i]
			e.board.NotePrompt(p.Endpoint, p.Tokens, time.Duration(p.AgeMS)*time.Millisecond, now)
		}
	}
}
