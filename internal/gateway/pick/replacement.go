package pick

// unheardSeconds is the cost of an endpoint of which nothing was heard lately, for requests that
// prefer others. It exceeds the cost of the requests at an endpoint that has room.
const unheardSeconds = 1

// SilenceFilter drops endpoints that are silent from requests that leave a silent endpoint.
type SilenceFilter struct{}

// Name implements Filter.
func (SilenceFilter) Name() string { return "silent" }

// Keep implements Filter.
func (SilenceFilter) Keep(r *Request, v *View) bool {
	if r.MaxSilence <= 0 {
		return true
	}
	return !v.isSilent(r.MaxSilence, r.Now) && (!r.OnlyHeard || v.isHeard(r))
}

// UnheardScorer avoids endpoints that have sent nothing lately, for requests that leave a silent
// endpoint while others are silent too. One without attempts may be silent unnoticed.
type UnheardScorer struct{}

// Name implements Scorer.
func (UnheardScorer) Name() string { return "unheard" }

// Seconds implements Scorer.
func (UnheardScorer) Seconds(r *Request, v *View) float64 {
	if r.PreferHeard && !v.isHeard(r) {
		return unheardSeconds
	}
	return 0
}

// isHeard reports whether the endpoint has sent something within MaxSilence.
func (s *stats) isHeard(r *Request) bool { return r.Now.Sub(s.lastByteAt) < r.MaxSilence }
