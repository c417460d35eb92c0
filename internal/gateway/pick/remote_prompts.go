package pick

import "time"

// longPromptSeconds is the estimated time to process a prompt, in seconds, from which other
// entries are notified of it.
const longPromptSeconds = 0.05

// NotePrompt records a long prompt that another entry sent to an endpoint some time ago.
func (b *Board) NotePrompt(endpoint string, tokens int, age time.Duration, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.endpoints[endpoint]
	if s == nil || tokens <= 0 {
		return
	}
	seconds := float64(tokens) * b.model(s.endpoint.Service).secondsPerTokenOrInitial() * s.slownessAt(b.paceOf(s.endpoint.Service, now), now)
	start := now.Add(-age)
	if s.remotePromptsUntil.After(start) {
		start = s.remotePromptsUntil
	}
	s.remotePromptsUntil = start.Add(time.Duration(seconds * float64(time.Second)))
}

// LongPrompt returns the number of prompt tokens that the endpoint has to process, and whether
// other entries should know of them.
func (c *Choice) LongPrompt() (tokens int, long bool) {
	return c.uncachedTokens, float64(c.uncachedTokens)*c.secondsPerToken >= longPromptSeconds
}

// RemotePromptsScorer estimates the time to process the long prompts of other entries.
type RemotePromptsScorer struct{}

// Name implements Scorer.
func (RemotePromptsScorer) Name() string { return "others" }

// Seconds implements Scorer.
func (RemotePromptsScorer) Seconds(r *Request, v *View) float64 {
	return max(v.remotePromptsUntil.Sub(r.Now).Seconds(), 0)
}
