package replica

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/boragelead/boragelead/internal/core/ledger"
	"github.com/boragelead/boragelead/internal/core/raft"
	"github.com/boragelead/boragelead/internal/port"
	"github.com/boragelead/boragelead/internal/wait"
)

const (
	// requestTimeout bounds a request, also one without a deadline of its own. An
	// election takes up to 2 s. If no leader is found after that, the caller should get
	// a NoQuorumError.
	requestTimeout = 4 * time.Second
	// attemptTimeout bounds one call to one replica. Resending is safe, because every
	// command carries an operation ID or attempt ID or is idempotent.
	attemptTimeout = 1200 * time.Millisecond
	// minAttemptTime is the least time before the deadline for which a further attempt is
	// started. An attempt that the deadline interrupts makes the outcome unknown.
	minAttemptTime = 100 * time.Millisecond
	// retryPause is the pause between attempts. It gives an election time to end.
	retryPause = 25 * time.Millisecond
	// watchWait is the longest wait of one long poll.
	watchWait = 20 * time.Second
	// watchReplyMargin is the time that the reply to a long poll may take in addition to
	// its wait.
	watchReplyMargin = 2 * time.Second
)

// Client sends requests to a group of replicas. It finds the leader, follows leader
// changes and retries requests safely. It is safe for concurrent use.
type Client struct {
	group     string
	addresses func() []string
	caller    port.PeerCaller

	mu sync.Mutex
	// leader is the address that last answered without an error, or empty.
	leader string
	// grants holds the fencing number of the last grant by lease name and holder.
	grants map[[2]string]uint64
}

var (
	_ port.Ledger   = (*Client)(nil)
	_ port.Recorder = (*Client)(nil)
)

// NewClient returns a client of the group with the given replica addresses.
func NewClient(group string, addresses []string, caller port.PeerCaller) *Client {
	list := slices.Clone(addresses)
	return newClient(group, func() []string { return list }, caller)
}

func newClient(group string, addresses func() []string, caller port.PeerCaller) *Client {
	return &Client{group: group, addresses: addresses, caller: caller, grants: map[[2]string]uint64{}}
}

// exchange sends one request to one replica.
func exchange(ctx context.Context, caller port.PeerCaller, address, method string, req *request) (*reply, error) {
	data, err := caller.Call(ctx, address, method, marshal(req))
	if err != nil {
		return nil, err
	}
	answer := &reply{}
	if err := unmarshal(data, answer); err != nil {
		return nil, eris.Wrap(err, "decode reply of replica")
	}
	return answer, nil
}

// do repeats a request until a replica carries it out, the request proves to be invalid
// or the time is over. In the last case it returns a NoQuorumError, whose Proposed field
// reports whether any attempt may still take effect.
func (c *Client) do(ctx context.Context, method string, req *request) (*reply, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	req.Group = c.group
	failure := &port.NoQuorumError{Group: c.group, Err: &ReplyError{Code: CodeStopped, Reason: "no replica is known"}}
	address := c.leaderHint()
	for i := 0; ; i++ {
		if address == "" {
			address = c.addressAt(i)
		}
		answer, err := c.attempt(ctx, address, method, req)
		if err == nil && answer.Error == nil {
			c.setLeaderHint(address)
			return answer, nil
		}
		next := ""
		if err != nil {
			failure.Err = err
			failure.Proposed = failure.Proposed || !certainlyNotSent(err)
		} else {
			if answer.Error.Code == CodeInvalid {
				return nil, &InvalidError{Reason: answer.Error.Reason}
			}
			failure.Err = answer.Error
			failure.Proposed = failure.Proposed || answer.Error.Code == CodeLost
			next = answer.Error.Leader
		}
		if next == "" || next == address {
			next = ""
			wait.For(ctx, retryPause)
		}
		address = next
		if deadline, ok := ctx.Deadline(); ctx.Err() != nil || ok && time.Until(deadline) < minAttemptTime {
			c.setLeaderHint("")
			return nil, failure
		}
	}
}

func (c *Client) attempt(ctx context.Context, address, method string, req *request) (*reply, error) {
	if address == "" {
		return &reply{Error: &ReplyError{Code: CodeStopped, Reason: "no replica is known"}}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return exchange(ctx, c.caller, address, method, req)
}

func (c *Client) leaderHint() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader
}

func (c *Client) setLeaderHint(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = address
}

// addressAt returns the address for attempt n. It cycles through the known addresses.
func (c *Client) addressAt(n int) string {
	list := c.addresses()
	if len(list) == 0 {
		return ""
	}
	return list[n%len(list)]
}

func (c *Client) proposeCommand(ctx context.Context, command *ledger.Command) (*ledger.Outcome, error) {
	data, err := command.Encode()
	if err != nil {
		return nil, err
	}
	return c.propose(ctx, &request{Command: data})
}

func (c *Client) propose(ctx context.Context, req *request) (*ledger.Outcome, error) {
	answer, err := c.do(ctx, MethodPropose, req)
	if err != nil {
		return nil, err
	}
	if answer.Outcome == nil {
		return nil, &InvalidError{Reason: "the reply of the replica contains no outcome"}
	}
	return answer.Outcome, answer.Outcome.Err()
}

// checkGroup returns a NoQuorumError with Proposed unset if the request is for another
// group than that of the client.
func (c *Client) checkGroup(group string) error {
	if group == c.group {
		return nil
	}
	return &port.NoQuorumError{Group: group, Err: &ReplyError{Code: CodeWrongGroup, Reason: "the client is for group " + c.group}}
}

// Promote implements port.Ledger.
func (c *Client) Promote(ctx context.Context, req port.PromoteRequest) (port.Generation, error) {
	outcome, err := c.proposeCommand(ctx, &ledger.Command{Promote: &req})
	if err != nil {
		return port.Generation{}, err
	}
	return *outcome.Generation, nil
}

// Current implements port.Ledger.
func (c *Client) Current(ctx context.Context) (port.Generation, error) {
	answer, err := c.do(ctx, MethodRead, &request{Read: readCurrent})
	if err != nil {
		return port.Generation{}, clearProposed(err)
	}
	if len(answer.Generations) == 0 {
		return port.Generation{}, nil
	}
	return answer.Generations[0], nil
}

// History implements port.Ledger.
func (c *Client) History(ctx context.Context, limit int) ([]port.Generation, error) {
	answer, err := c.do(ctx, MethodRead, &request{Read: readHistory, Limit: limit})
	if err != nil {
		return nil, clearProposed(err)
	}
	return answer.Generations, nil
}

// Running returns the number of running claims by owner.
func (c *Client) Running(ctx context.Context) (map[string]int, error) {
	answer, err := c.do(ctx, MethodRead, &request{Read: readRunning})
	if err != nil {
		return nil, clearProposed(err)
	}
	return answer.Running, nil
}

// clearProposed unsets Proposed in a NoQuorumError of a read, because a read proposes
// nothing.
func clearProposed(err error) error {
	if failure, ok := err.(*port.NoQuorumError); ok {
		failure.Proposed = false
	}
	return err
}

// Claim implements port.Ledger.
func (c *Client) Claim(ctx context.Context, req port.ClaimRequest) (port.ClaimResult, error) {
	if err := c.checkGroup(req.Group); err != nil {
		return port.ClaimResult{}, err
	}
	outcome, err := c.proposeCommand(ctx, &ledger.Command{Claim: &req})
	if err != nil {
		return port.ClaimResult{}, err
	}
	return *outcome.Claim, nil
}

// Complete implements port.Ledger.
func (c *Client) Complete(ctx context.Context, req port.CompleteRequest) error {
	if err := c.checkGroup(req.Group); err != nil {
		return err
	}
	_, err := c.proposeCommand(ctx, &ledger.Command{Complete: &req})
	return err
}

// Record implements port.Recorder.
func (c *Client) Record(ctx context.Context, req port.RecordRequest) ([]byte, error) {
	outcome, err := c.proposeCommand(ctx, &ledger.Command{Record: &req})
	if err != nil {
		return nil, err
	}
	return outcome.Record.Value, nil
}

// NewestRecords returns the newest record of each series whose name begins with prefix. It
// reads from the leader, so that it returns what was recorded before the call. The error is
// a *port.NoQuorumError, or a *UnsupportedError if the leader is of an older build.
func (c *Client) NewestRecords(ctx context.Context, prefix string) ([]port.RecordRequest, error) {
	answer, err := c.do(ctx, MethodRead, &request{Read: readRecords, Prefix: prefix})
	if err != nil {
		return nil, clearProposed(err)
	}
	if !answer.ReadsRecords {
		return nil, &UnsupportedError{Read: string(readRecords)}
	}
	return answer.Records, nil
}

// DeclareOwnerDead declares an incarnation of a daemon and all earlier
// incarnations dead. Their running claims change to the state unknown.
func (c *Client) DeclareOwnerDead(ctx context.Context, owner string, incarnation uint64) error {
	_, err := c.proposeCommand(ctx, &ledger.Command{Gone: &ledger.OwnerGone{Owner: owner, Incarnation: incarnation}})
	return err
}

// AcquireLease implements port.Ledger. The holder must count the time to live from the
// time before the call.
func (c *Client) AcquireLease(
	ctx context.Context, name, holder string, ttl time.Duration,
) (port.LeaseGrant, error) {
	return c.acquireLease(ctx, &ledger.LeaseRequest{Name: name, Holder: holder, TTL: ttl})
}

// TakeOverLease is like AcquireLease, but may also take the lease from its present
// holder. A take-over is refused if the requesting holder itself lost the lease to a
// take-over and its own grant would not have expired yet.
func (c *Client) TakeOverLease(
	ctx context.Context, name, holder string, ttl time.Duration,
) (port.LeaseGrant, error) {
	return c.acquireLease(ctx, &ledger.LeaseRequest{Name: name, Holder: holder, TTL: ttl, TakeOver: true})
}

func (c *Client) acquireLease(ctx context.Context, req *ledger.LeaseRequest) (port.LeaseGrant, error) {
	req.Fencing = c.grantNumber(req.Name, req.Holder)
	outcome, err := c.propose(ctx, &request{Lease: req})
	if err != nil {
		return port.LeaseGrant{}, err
	}
	number := uint64(0)
	if outcome.Lease.Granted {
		number = outcome.Lease.FencingNumber
	}
	c.setGrantNumber(req.Name, req.Holder, number)
	return *outcome.Lease, nil
}

// ReleaseLease implements port.Ledger. It releases the last grant that this client
// received. Without a grant it does nothing.
func (c *Client) ReleaseLease(ctx context.Context, name, holder string) error {
	number := c.grantNumber(name, holder)
	if number == 0 {
		return nil
	}
	// From here on the client regards the grant as released, even if the reply is lost.
	c.setGrantNumber(name, holder, 0)
	_, err := c.propose(ctx, &request{Lease: &ledger.LeaseRequest{
		Name: name, Holder: holder, Release: true, Fencing: number,
	}})
	return err
}

func (c *Client) grantNumber(name, holder string) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.grants[[2]string{name, holder}]
}

func (c *Client) setGrantNumber(name, holder string, number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.grants[[2]string{name, holder}] = number
}

// Watch waits for a generation with a number greater than after and returns it. It
// fails only with the error of the context.
func (c *Client) Watch(ctx context.Context, after uint64) (port.Generation, error) {
	for i := 0; ; i++ {
		if address := c.addressAt(i); address != "" {
			g, ok := c.poll(ctx, address, after)
			if ok {
				return g, nil
			}
		}
		wait.For(ctx, retryPause)
		if err := ctx.Err(); err != nil {
			return port.Generation{}, err
		}
	}
}

func (c *Client) poll(ctx context.Context, address string, after uint64) (port.Generation, bool) {
	ctx, cancel := context.WithTimeout(ctx, watchWait+watchReplyMargin)
	defer cancel()
	req := &request{Group: c.group, After: after, WaitMS: watchWait.Milliseconds()}
	answer, err := exchange(ctx, c.caller, address, MethodWatch, req)
	if err != nil || answer.Error != nil || len(answer.Generations) == 0 || answer.Generations[0].Number <= after {
		return port.Generation{}, false
	}
	return answer.Generations[0], true
}

// PromoteReplica makes a learner a voter. It is idempotent.
func (c *Client) PromoteReplica(ctx context.Context, id raft.ID) error {
	return c.changeMember(ctx, raft.Change{Kind: raft.PromoteLearner, Member: raft.Member{ID: id}}, 0)
}

// RemoveReplica removes a member. It is idempotent.
func (c *Client) RemoveReplica(ctx context.Context, id raft.ID) error {
	return c.changeMember(ctx, raft.Change{Kind: raft.RemoveMember, Member: raft.Member{ID: id}}, 0)
}

// ReplaceReplica makes a learner a voter and then removes a lost voter. It is idempotent.
func (c *Client) ReplaceReplica(ctx context.Context, lost, learner raft.ID) error {
	return c.changeMember(ctx, raft.Change{Kind: raft.PromoteLearner, Member: raft.Member{ID: learner}}, lost)
}

func (c *Client) changeMember(ctx context.Context, change raft.Change, lost raft.ID) error {
	_, err := c.do(ctx, MethodMember, &request{Change: change, Lost: lost})
	return err
}

// Status returns the status of the replica at an address.
func (c *Client) Status(ctx context.Context, address string) (*Status, error) {
	answer, err := exchange(ctx, c.caller, address, MethodStatus, &request{Group: c.group})
	if err != nil {
		return nil, err
	}
	if answer.Error != nil {
		return nil, answer.Error
	}
	return answer.Status, nil
}

// localCaller serves calls to the address of its own replica without a network
// connection and passes other calls to next.
type localCaller struct {
	replica *Replica
	next    port.PeerCaller
}

// Call implements port.PeerCaller.
func (l *localCaller) Call(ctx context.Context, address, method string, params []byte) ([]byte, error) {
	if address == l.replica.opts.Address {
		return l.replica.dispatch(ctx, method, params)
	}
	return l.next.Call(ctx, address, method, params)
}

// Notify implements port.PeerCaller.
func (l *localCaller) Notify(ctx context.Context, address, method string, params []byte) error {
	return l.next.Notify(ctx, address, method, params)
}

// knownAddresses returns the own address followed by all other known addresses.
func (r *Replica) knownAddresses() []string {
	list := []string{r.opts.Address}
	for _, address := range slices.Concat(r.peers(), r.network.memberAddresses()) {
		if !slices.Contains(list, address) {
			list = append(list, address)
		}
	}
	return list
}
