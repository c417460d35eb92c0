package cluster

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/boragelead/boragelead/internal/core/distribute"
	"github.com/boragelead/boragelead/internal/core/member"
	"github.com/boragelead/boragelead/internal/port"
	"github.com/boragelead/boragelead/internal/wait"
)

const (
	// maxParallelPushes is the maximum number of concurrent pushes of one pushAll or
	// pushDomain call.
	maxParallelPushes = 16
	// pushTimeout bounds the push to one daemon. A daemon that misses the push pulls.
	pushTimeout = 2 * time.Second
	// watchRetryPause is the pause after a failed watch of the source.
	watchRetryPause = 500 * time.Millisecond
)

// installGeneration puts a generation in force and sets its number in the membership.
// It reports whether the generation was newer than the one in force.
func (c *Cluster) installGeneration(g port.Generation) (bool, error) {
	installed, err := c.state.Accept(g, time.Now())
	if err != nil {
		c.log.Error("Configuration could not be installed.", zap.Uint64("generation", g.Number), zap.Error(err))
		return false, err
	}
	if installed {
		c.node.SetGeneration(g.Number)
		c.log.Info("Configuration installed.", zap.Uint64("generation", g.Number))
	}
	return installed, nil
}

// watchLoop installs new generations of the replicated state and, on the leader, pushes
// them to the other daemons.
func (c *Cluster) watchLoop() {
	var last uint64
	for c.ctx.Err() == nil {
		g, err := c.options.Source.WatchGeneration(c.ctx, last)
		if err != nil {
			wait.For(c.ctx, watchRetryPause)
			continue
		}
		last = g.Number
		if _, err := c.installGeneration(g); err != nil {
			continue
		}
		if c.options.IsLeader == nil || c.options.IsLeader() {
			c.spawn(func() { c.pushAll(g) })
		}
	}
}

func (c *Cluster) updateSourceContact(now time.Time) {
	switch {
	case c.options.Source == nil:
	case c.options.SourceAge == nil:
		c.node.NoteSource(now)
	default:
		if age, ok := c.options.SourceAge(); ok {
			c.node.NoteSource(now.Add(-age))
		}
	}
}

// pushAll pushes a generation to one relay of each other failure domain and to the
// daemons of the own domain.
func (c *Cluster) pushAll(g port.Generation) {
	var group errgroup.Group
	group.SetLimit(maxParallelPushes)
	message := distribute.Encode(g, true)
	for _, domain := range c.node.Domains(time.Now()) {
		group.Go(func() error {
			c.pushToRelay(domain, message)
			return nil
		})
	}
	c.pushDomain(g, "")
	_ = group.Wait()
}

// pushToRelay pushes to the first relay of a failure domain that accepts the push.
func (c *Cluster) pushToRelay(domain member.DomainView, message []byte) {
	for _, relay := range domain.Relays {
		if c.push(relay.Address, message) == nil {
			return
		}
	}
	c.log.Warn("Configuration could not be pushed to any relay of the failure domain.", zap.String("failure_domain", domain.Domain))
}

// pushDomain pushes a generation to the peers of the own failure domain that do not have it.
func (c *Cluster) pushDomain(g port.Generation, except string) {
	var group errgroup.Group
	group.SetLimit(maxParallelPushes)
	message := distribute.Encode(g, false)
	for _, peer := range c.node.Peers() {
		if peer.Address == except || peer.Generation >= g.Number || peer.Status != member.Alive {
			continue
		}
		group.Go(func() error {
			// A daemon that misses the push learns the number from datagrams and pulls.
			_ = c.push(peer.Address, message)
			return nil
		})
	}
	_ = group.Wait()
}

func (c *Cluster) push(address string, message []byte) error {
	ctx, cancel := context.WithTimeout(c.ctx, pushTimeout)
	defer cancel()
	_, err := c.options.RPC.Call(ctx, address, distribute.MethodPush, message)
	return err
}

func (c *Cluster) handlePush(_ context.Context, params []byte) ([]byte, error) {
	g, relay, err := distribute.Decode(params)
	if err != nil {
		return nil, err
	}
	installed, err := c.installGeneration(g)
	if err != nil {
		return nil, err
	}
	if installed && relay && c.ctx.Err() == nil {
		c.spawn(func() { c.pushDomain(g, "") })
	}
	return nil, nil
}

func (c *Cluster) handlePull(_ context.Context, params []byte) ([]byte, error) {
	var r distribute.PullRequest
	if err := distribute.Unmarshal(params, &r); err != nil {
		return nil, err
	}
	current := c.state.Current()
	if current.Number <= r.Have {
		return nil, nil
	}
	return distribute.Encode(current, false), nil
}

// pullIfDue pulls the configuration if other daemons have a higher generation. If no
// generation is known, it also pulls from the state replicas and the seeds.
func (c *Cluster) pullIfDue(now time.Time) {
	newest, addresses := c.node.NewestGeneration()
	if !c.state.PullDue(newest, now) {
		return
	}
	if newest == 0 {
		addresses = append(append(addresses, c.options.StateReplicas...), c.options.Seeds...)
	}
	if len(addresses) == 0 {
		return
	}
	address := addresses[rand.IntN(len(addresses))]
	if address == c.options.Self.Address {
		return
	}
	c.startExchange("config "+address, func(ctx context.Context) error { return c.pullConfig(ctx, address) })
}

func (c *Cluster) pullConfig(ctx context.Context, address string) error {
	request := distribute.PullRequest{Have: c.state.Current().Number}
	reply, err := c.options.RPC.Call(ctx, address, distribute.MethodPull, distribute.Marshal(&request))
	if err != nil || len(reply) == 0 {
		return err
	}
	g, _, err := distribute.Decode(reply)
	if err != nil {
		return err
	}
	_, err = c.installGeneration(g)
	return err
}
