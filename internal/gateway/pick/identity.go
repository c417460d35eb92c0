package pick

import "time"

// Identity tells whether the endpoint of an attempt is the incarnation that was chosen.
type Identity int

// Identities of an endpoint.
const (
	// ChosenIncarnation means that the endpoint is listed with the chosen incarnation, or that
	// this one withdrew and goes on serving until it exits, and that nothing speaks against it.
	ChosenIncarnation Identity = iota
	// Unlisted means that the endpoint is not listed at present. If it stood still for longer
	// than its lease, it is listed again soon, with the same incarnation.
	Unlisted
	// PossiblyAnother means that another incarnation was announced since the choice, or that
	// the endpoint may have started again before the attempt was connected.
	PossiblyAnother
)

// RecordConnected records that the connection of the attempt is established.
func (c *Choice) RecordConnected(now time.Time) {
	c.board.mu.Lock()
	defer c.board.mu.Unlock()
	c.connectedAt = now
}

// RecordRefused records that the endpoint refused the connection of the attempt.
func (c *Choice) RecordRefused(now time.Time) {
	c.board.RecordRefused(c.Endpoint.ID, c.Endpoint.Born, c.startedAt, now)
}

// Identity tells whether the endpoint is the incarnation that was chosen.
func (c *Choice) Identity(now time.Time) Identity {
	c.board.mu.Lock()
	defer c.board.mu.Unlock()
	current := c.board.endpoints[c.Endpoint.ID]
	switch {
	case current != nil && current != c.stats, c.refusedBeforeConnected(now):
		return PossiblyAnother
	case current == nil && !c.stats.withdrawn:
		return Unlisted
	}
	return ChosenIncarnation
}

// RecordWithdrawn records that an incarnation of an endpoint withdrew. It is no longer listed, and
// goes on with its requests until it exits.
func (b *Board) RecordWithdrawn(id string, born int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.unlisted[id]; s != nil && s.endpoint.Born == born {
		s.withdrawn = true
	}
}

// VersionIsDoubtful reports whether the endpoint may be at another software version than the
// announced one.
func (c *Choice) VersionIsDoubtful(now time.Time) bool { return c.Identity(now) != ChosenIncarnation }

// refusedBeforeConnected reports whether the endpoint may have refused a connection before that
// of the attempt was established. A connection leads to the process that listened when it was
// established, and ends with it: one that was refused later says nothing about that process.
// The caller must hold the lock of the board.
func (c *Choice) refusedBeforeConnected(now time.Time) bool {
	if !c.stats.mayHaveRestarted(now) {
		return false
	}
	return c.connectedAt.IsZero() || !c.stats.refusalBegan.After(c.connectedAt)
}
