package ledger

import (
	"bytes"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/boragelead/boragelead/internal/port"
)

// MaxCommandBytes bounds the size of an encoded command. The largest commands
// carry documents or recorded results.
const MaxCommandBytes = 4 << 20

// Command is the command of one log entry. Exactly one field is set.
type Command struct {
	Promote  *port.PromoteRequest  `json:"promote,omitempty"`
	Claim    *port.ClaimRequest    `json:"claim,omitempty"`
	Complete *port.CompleteRequest `json:"complete,omitempty"`
	Gone     *OwnerGone            `json:"gone,omitempty"`
	Lease    *LeaseRequest         `json:"lease,omitempty"`
	Tick     *Tick                 `json:"tick,omitempty"`
	Open     *NewTerm              `json:"open,omitempty"`
	Record   *port.RecordRequest   `json:"record,omitempty"`
}

// OwnerGone declares that an incarnation of an entry daemon, and every earlier
// incarnation, has ended.
type OwnerGone struct {
	Owner       string `json:"owner"`
	Incarnation uint64 `json:"incarnation"`
}

// LeaseRequest acquires, renews or releases a lease.
type LeaseRequest struct {
	Name    string        `json:"name"`
	Holder  string        `json:"holder"`
	TTL     time.Duration `json:"ttl"`
	Release bool          `json:"release,omitempty"`
	// TakeOver ends the grant of another holder. Use it only for leases whose
	// former holders are kept from acting by their outdated fencing number.
	TakeOver bool `json:"take_over,omitempty"`
	// Fencing is the fencing number of the grant to renew or release; 0 requests a new grant.
	Fencing uint64 `json:"fencing,omitempty"`
	// Elapsed is set by the leader and has the meaning that it has in Tick.
	// Without it, time that passed before the grant would be deducted from the lease.
	Elapsed time.Duration `json:"elapsed,omitempty"`
}

// Tick advances the time of the ledger.
type Tick struct {
	// Elapsed is the time on the leader's clock since its last tick or lease command.
	Elapsed time.Duration `json:"elapsed"`
	// Retention is how long an ended claim is kept after its end.
	Retention time.Duration `json:"retention"`
}

// NewTerm is the first command of a new leader. It restarts every lease with
// its full time to live.
type NewTerm struct {
	Term uint64 `json:"term"`
}

// Encode checks a command and returns its encoded form.
func (c *Command) Encode() ([]byte, error) {
	if err := c.check(); err != nil {
		return nil, err
	}
	data, err := encode(c)
	if err != nil {
		return nil, &CommandError{Reason: err.Error()}
	}
	if len(data) > MaxCommandBytes {
		return nil, &CommandError{Reason: "too large"}
	}
	return data, nil
}

// DecodeCommand decodes a command and checks it.
func DecodeCommand(data []byte) (*Command, error) {
	c := &Command{}
	if err := decode(data, c); err != nil {
		return nil, &CommandError{Reason: err.Error()}
	}
	return c, c.check()
}

func (c *Command) check() error {
	set := 0
	for _, present := range []bool{
		c.Promote != nil, c.Claim != nil, c.Complete != nil, c.Gone != nil, c.Lease != nil, c.Tick != nil, c.Open != nil, c.Record != nil,
	} {
		if present {
			set++
		}
	}
	switch {
	case set != 1:
		return &CommandError{Reason: "not exactly one request"}
	case c.Promote != nil && c.Promote.OperationID == "":
		return &CommandError{Reason: "no operation ID"}
	case c.Claim != nil && (c.Claim.Key == "" || c.Claim.Attempt == "" || c.Claim.Owner == ""):
		return &CommandError{Reason: "claim without key, attempt or owner"}
	case c.Complete != nil && (c.Complete.Key == "" || c.Complete.Attempt == ""):
		return &CommandError{Reason: "completion without key or attempt"}
	case c.Record != nil && c.Record.Series == "":
		return &CommandError{Reason: "record without series"}
	case c.Lease != nil && (c.Lease.Name == "" || c.Lease.Holder == ""):
		return &CommandError{Reason: "lease without name or holder"}
	case c.Lease != nil && !c.Lease.Release && (c.Lease.TTL <= 0 || c.Lease.TTL > MaxLeaseTTL):
		return &CommandError{Reason: "lease time out of range"}
	case c.Lease != nil && c.Lease.Elapsed < 0 || c.Tick != nil && (c.Tick.Elapsed < 0 || c.Tick.Retention < 0):
		return &CommandError{Reason: "negative duration"}
	}
	return nil
}

// encode encodes structs as maps whose keys are the JSON tags, so that a field
// can be added without making existing logs unreadable.
func encode(value any) ([]byte, error) {
	var buffer bytes.Buffer
	// Pooled encoders avoid most of the allocations, which limit the rate of claims.
	encoder := msgpack.GetEncoder()
	defer msgpack.PutEncoder(encoder)
	encoder.Reset(&buffer)
	encoder.SetCustomStructTag("json")
	encoder.UseCompactInts(true)
	err := encoder.Encode(value)
	return buffer.Bytes(), err
}

func decode(data []byte, value any) error {
	decoder := msgpack.GetDecoder()
	defer msgpack.PutDecoder(decoder)
	decoder.Reset(bytes.NewReader(data))
	decoder.SetCustomStructTag("json")
	return decoder.Decode(value)
}

// Outcome is the result of a command. At most one field is set; none is set when
// the command succeeded and returns no value.
type Outcome struct {
	Generation *port.Generation           `json:"generation,omitempty"`
	Conflict   *port.ConflictError        `json:"conflict,omitempty"`
	Reused     *port.OperationReusedError `json:"reused,omitempty"`
	Claim      *port.ClaimResult          `json:"claim,omitempty"`
	Stale      *port.StaleOwnerError      `json:"stale,omitempty"`
	Attempt    *port.AttemptError         `json:"attempt,omitempty"`
	Lease      *port.LeaseGrant           `json:"lease,omitempty"`
	Record     *port.RecordRequest        `json:"record,omitempty"`
	Invalid    *CommandError              `json:"invalid,omitempty"`
}

// Err returns the typed error of a refused command, or nil.
func (o Outcome) Err() error {
	switch {
	case o.Conflict != nil:
		return o.Conflict
	case o.Reused != nil:
		return o.Reused
	case o.Stale != nil:
		return o.Stale
	case o.Attempt != nil:
		return o.Attempt
	case o.Invalid != nil:
		return o.Invalid
	}
	return nil
}
