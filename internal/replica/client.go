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
)

const (
	// requestTimeout bounds a request without a deadline of its own: an election
	// takes up to 2 s, and the caller should then hear that there is no quorum.
	requestTimeout = 4 * time.Second
	// attemptTimeout bounds one call to one replica. A resend is safe, because
	// every command carries an operation or attempt ID or can be repeated.
	attemptTimeout = 1200 * time.Millisecond
	// minAttempt is the least time worth starting a further attempt: one that the
	// deadline cuts off makes the outcome uncertain for no gain.
	minAttempt = 100 * time.Millisecond
	// retryPause lets an election end before the next attempt.
	retryPause = 25 * time.Millisecond
	// watchWait is the longest wait of one long poll.
	watchWait = 20 * time.Second
	// watchSlack is what the answer to a long poll may take beyond its wait.
	watchSlack = 2 * time.Second
)

// Client reaches a group of replicas from any daemon. It finds the leader,
// follows its changes and repeats requests safely. It is safe for concurrent use.
type Client struct {
	group     string
	addresses func() []string
	caller    port.PeerCaller

	mu sync.Mutex
	// leader is the address that answered last.
	leader string
	// fencing holds the number of the last grant by name and holder.
	fencing map[[2]string]uint64
}

var (
	_ port.Ledger   = (*Client)(nil)
	_ port.Recorder = (*Client)(nil)
)

// NewClient returns a client of the group that knows some replica addresses.
func NewClient(group string, addresses []string, caller port.PeerCaller) *Client {
	list := slices.Clone(addresses)
	return newClient(group, func() []string { return list }, caller)
}

func newClient(group string, addresses func() []string, caller port.PeerCaller) *Client {
	return &Client{group: group, addresses: addresses, caller: caller, fencing: map[[2]string]uint64{}}
}

// exchange makes one call to one replica.
func exchange(ctx context.Context, caller port.PeerCaller, address, method string, req *request) (*reply, error) {
	data, err := caller.Call(ctx, address, method, marshal(req))
	if err != nil {
		return nil, err
	}
	answer := &reply{}
	if err := unmarshal(data, answer); err != nil {
		return nil, eris.Wrap(err, "decode answer of replica")
	}
	return answer, nil
}

// do repeats a request until a replica carries it out or the time is over. A
// NoQuorumError says whether any attempt may still take effect.
func (c *Client) do(ctx context.Context, method string, req *request) (*reply, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	req.Group = c.group
	failure := &port.NoQuorumError{Group: c.group, Err: &ReplyError{Code: CodeStopped, Reason: "no replica is known"}}
	address := c.hint()
	for turn := 0; ; turn++ {
		if address == "" {
			address = c.turn(turn)
		}
		answer, err := c.attempt(ctx, address, method, req)
		if err == nil && answer.Error == nil {
			c.remember(address)
			return answer, nil
		}
		next := ""
		if err != nil {
			failure.Err = err
			failure.Proposed = failure.Proposed || !neverSent(err)
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
			c.pause(ctx)
		}
		address = next
		if deadline, ok := ctx.Deadline(); ctx.Err() != nil || ok && time.Until(deadline) < minAttempt {
			c.remember("")
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

func (c *Client) pause(ctx context.Context) {
	select {
	case <-time.After(retryPause):
	case <-ctx.Done():
	}
}

func (c *Client) hint() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader
}

func (c *Client) remember(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = address
}

// turn returns the known addresses one after the other.
func (c *Client) turn(n int) string {
	list := c.addresses()
	if len(list) == 0 {
		return ""
	}
	return list[n%len(list)]
}

func (c *Client) propose(ctx context.Context, command *ledger.Command) (*ledger.Outcome, error) {
	data, err := command.Encode()
	if err != nil {
		return nil, err
	}
	return c.outcome(ctx, &request{Command: data})
}

func (c *Client) outcome(ctx context.Context, req *request) (*ledger.Outcome, error) {
	answer, err := c.do(ctx, MethodPropose, req)
	if err != nil {
		return nil, err
	}
	if answer.Outcome == nil {
		return nil, &InvalidError{Reason: "answer without an outcome"}
	}
	return answer.Outcome, answer.Outcome.Err()
}

// checkGroup refuses a request for a group that this client does not reach; nothing was proposed.
func (c *Client) checkGroup(group string) error {
	if group == c.group {
		return nil
	}
	return &port.NoQuorumError{Group: group, Err: &ReplyError{Code: CodeWrongGroup, Reason: "client of " + c.group}}
}

// Promote implements port.Ledger.
func (c *Client) Promote(ctx context.Context, req port.PromoteRequest) (port.Generation, error) {
	outcome, err := c.propose(ctx, &ledger.Command{Promote: &req})
	if err != nil {
		return port.Generation{}, err
	}
	return *outcome.Generation, nil
}

// Current implements port.Ledger.
func (c *Client) Current(ctx context.Context) (port.Generation, error) {
	answer, err := c.do(ctx, MethodRead, &request{Read: readCurrent})
	if err != nil {
		return port.Generation{}, readError(err)
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
		return nil, readError(err)
	}
	return answer.Generations, nil
}

// Running returns the owners with running claims and how many they have.
func (c *Client) Running(ctx context.Context) (map[string]int, error) {
	answer, err := c.do(ctx, MethodRead, &request{Read: readRunning})
	if err != nil {
		return nil, readError(err)
	}
	return answer.Running, nil
}

// readError clears Proposed: a read proposes nothing.
func readError(err error) error {
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
	outcome, err := c.propose(ctx, &ledger.Command{Claim: &req})
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
	_, err := c.propose(ctx, &ledger.Command{Complete: &req})
	return err
}

// Record implements port.Recorder.
func (c *Client) Record(ctx context.Context, req port.RecordRequest) ([]byte, error) {
	outcome, err := c.propose(ctx, &ledger.Command{Record: &req})
	if err != nil {
		return nil, err
	}
	return outcome.Record.Value, nil
}

// OwnerGone declares an incarnation of a daemon, and all before it, dead. Its
// running claims become unknown.
func (c *Client) OwnerGone(ctx context.Context, owner string, incarnation uint64) error {
	_, err := c.propose(ctx, &ledger.Command{Gone: &ledger.OwnerGone{Owner: owner, Incarnation: incarnation}})
	return err
}

// AcquireLease implements port.Ledger. The holder counts the time to live from
// before the call.
func (c *Client) AcquireLease(
	ctx context.Context, name, holder string, ttl time.Duration,
) (port.LeaseGrant, error) {
	return c.acquireLease(ctx, &ledger.LeaseRequest{Name: name, Holder: holder, TTL: ttl})
}

// TakeOverLease is AcquireLease for a lease that may be taken from its holder,
// unless this holder lost it in the same way less than its time ago.
func (c *Client) TakeOverLease(
	ctx context.Context, name, holder string, ttl time.Duration,
) (port.LeaseGrant, error) {
	return c.acquireLease(ctx, &ledger.LeaseRequest{Name: name, Holder: holder, TTL: ttl, TakeOver: true})
}

func (c *Client) acquireLease(ctx context.Context, req *ledger.LeaseRequest) (port.LeaseGrant, error) {
	req.Fencing = c.grant(req.Name, req.Holder)
	outcome, err := c.outcome(ctx, &request{Lease: req})
	if err != nil {
		return port.LeaseGrant{}, err
	}
	number := uint64(0)
	if outcome.Lease.Granted {
		number = outcome.Lease.FencingNumber
	}
	c.setGrant(req.Name, req.Holder, number)
	return *outcome.Lease, nil
}

// ReleaseLease implements port.Ledger. It ends the last grant that this client
// received; without one it does nothing.
func (c *Client) ReleaseLease(ctx context.Context, name, holder string) error {
	number := c.grant(name, holder)
	if number == 0 {
		return nil
	}
	// From here the grant counts as given up, also when the answer is lost.
	c.setGrant(name, holder, 0)
	_, err := c.outcome(ctx, &request{Lease: &ledger.LeaseRequest{
		Name: name, Holder: holder, Release: true, Fencing: number,
	}})
	return err
}

func (c *Client) grant(name, holder string) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fencing[[2]string{name, holder}]
}

func (c *Client) setGrant(name, holder string, number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fencing[[2]string{name, holder}] = number
}

// Watch waits for a generation newer than the given one. It returns the given
// number's successor or later, or the error of the context.
func (c *Client) Watch(ctx context.Context, after uint64) (port.Generation, error) {
	for turn := 0; ; turn++ {
		if address := c.turn(turn); address != "" {
			g, ok := c.poll(ctx, address, after)
			if ok {
				return g, nil
			}
		}
		c.pause(ctx)
		if err := ctx.Err(); err != nil {
			return port.Generation{}, err
		}
	}
}

func (c *Client) poll(ctx context.Context, address string, after uint64) (port.Generation, bool) {
	ctx, cancel := context.WithTimeout(ctx, watchWait+watchSlack)
	defer cancel()
	req := &request{Group: c.group, After: after, WaitMS: watchWait.Milliseconds()}
	answer, err := exchange(ctx, c.caller, address, MethodWatch, req)
	if err != nil || answer.Error != nil || len(answer.Generations) == 0 || answer.Generations[0].Number <= after {
		return port.Generation{}, false
	}
	return answer.Generations[0], true
}

// PromoteReplica makes a learner a voter. It can be repeated.
func (c *Client) PromoteReplica(ctx context.Context, id raft.ID) error {
	return c.member(ctx, raft.Change{Kind: raft.PromoteLearner, Member: raft.Member{ID: id}}, 0)
}

// RemoveReplica removes a member. It can be repeated.
func (c *Client) RemoveReplica(ctx context.Context, id raft.ID) error {
	return c.member(ctx, raft.Change{Kind: raft.RemoveMember, Member: raft.Member{ID: id}}, 0)
}

// ReplaceReplica makes a learner a voter and then removes a lost voter. It can be repeated.
func (c *Client) ReplaceReplica(ctx context.Context, lost, learner raft.ID) error {
	return c.member(ctx, raft.Change{Kind: raft.PromoteLearner, Member: raft.Member{ID: learner}}, lost)
}

func (c *Client) member(ctx context.Context, change raft.Change, lost raft.ID) error {
	_, err := c.do(ctx, MethodMember, &request{Change: change, Lost: lost})
	return err
}

// Status asks the replica at an address.
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

// localCaller answers calls to the own address without a connection.
type localCaller struct {
	r    *Replica
	next port.PeerCaller
}

// Call implements port.PeerCaller.
func (l *localCaller) Call(ctx context.Context, address, method string, params []byte) ([]byte, error) {
	if address == l.r.opts.Address {
		return l.r.dispatch(ctx, method, params)
	}
	return l.next.Call(ctx, address, method, params)
}

// Notify implements port.PeerCaller.
func (l *localCaller) Notify(ctx context.Context, address, method string, params []byte) error {
	return l.next.Notify(ctx, address, method, params)
}

// knownAddresses lists the own address first, then all others.
func (r *Replica) knownAddresses() []string {
	list := []string{r.opts.Address}
	for _, address := range slices.Concat(r.opts.Peers, r.network.known()) {
		if !slices.Contains(list, address) {
			list = append(list, address)
		}
	}
	return list
}
