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
)

const (
	// pushParallel bounds the pushes under way at one daemon.
	pushParallel = 16
	// pushTimeout bounds the push to one daemon. Who misses it pulls.
	pushTimeout = 2 * time.Second
	// watchRetry is the pause after the source failed.
	watchRetry = 500 * time.Millisecond
)

// accept installs a generation and tells the membership about it.
func (c *Cluster) accept(g port.Generation) (bool, error) {
	installed, err := c.state.Accept(g, time.Now())
	if err != nil {
		c.log.Error("Configuration not installed.", zap.Uint64("generation", g.Number), zap.Error(err))
		return false, err
	}
	if installed {
		c.node.SetGeneration(g.Number)
		c.log.Info("Configuration installed.", zap.Uint64("generation", g.Number))
	}
	return installed, nil
}

// watchLoop installs what the replicated state holds and, on its leader, pushes it.
func (c *Cluster) watchLoop() {
	var last uint64
	for c.ctx.Err() == nil {
		g, err := c.options.Source.WatchGeneration(c.ctx, last)
		if err != nil {
			select {
			case <-time.After(watchRetry):
			case <-c.ctx.Done():
			}
			continue
		}
		last = g.Number
		if _, err := c.accept(g); err != nil {
			continue
		}
		if c.options.IsLeader == nil || c.options.IsLeader() {
			c.spawn(func() { c.pushAll(g) })
		}
	}
}

func (c *Cluster) noteSourceAge(now time.Time) {
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

// pushAll pushes a generation to one relay per other domain and to the own domain.
func (c *Cluster) pushAll(g port.Generation) {
	var group errgroup.Group
	group.SetLimit(pushParallel)
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

// pushToRelay pushes to the first relay of a domain that answers.
func (c *Cluster) pushToRelay(domain member.DomainView, message []byte) {
	for _, relay := range domain.Relays {
		if c.push(relay.Address, message) == nil {
			return
		}
	}
	c.log.Warn("Configuration not pushed to failure domain.", zap.String("failure_domain", domain.Domain))
}

// pushDomain pushes a generation to the peers of the own domain that do not have it.
func (c *Cluster) pushDomain(g port.Generation, except string) {
	var group errgroup.Group
	group.SetLimit(pushParallel)
	message := distribute.Encode(g, false)
	for _, peer := range c.node.Peers() {
		if peer.Address == except || peer.Generation >= g.Number || peer.Status != member.Alive {
			continue
		}
		group.Go(func() error {
			// Who misses the push sees the number in datagrams and pulls.
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
	installed, err := c.accept(g)
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

// pullIfDue pulls the configuration when others have a higher generation. A
// daemon without any generation asks the state replicas and the seeds.
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
	c.exchange("config "+address, func(ctx context.Context) error { return c.pullConfig(ctx, address) })
}

func (c *Cluster) pullConfig(ctx context.Context, address string) error {
	have := distribute.PullRequest{Have: c.state.Current().Number}
	reply, err := c.options.RPC.Call(ctx, address, distribute.MethodPull, distribute.Marshal(&have))
	if err != nil || len(reply) == 0 {
		return err
	}
	g, _, err := distribute.Decode(reply)
	if err != nil {
		return err
	}
	_, err = c.accept(g)
	return err
}
