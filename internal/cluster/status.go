package cluster

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/boragelead/boragelead/internal/adapter/gossipudp"
	"github.com/boragelead/boragelead/internal/core/distribute"
	"github.com/boragelead/boragelead/internal/core/member"
	"github.com/boragelead/boragelead/internal/port"
)

// statusQueryTimeout bounds the status query to one daemon of the own failure domain. A
// query to a relay, which queries its domain in turn, may take twice as long.
const statusQueryTimeout = time.Second

// Node returns the membership, which gives access to payloads, peers and failure domains.
func (c *Cluster) Node() *member.Node { return c.node }

// Traffic returns the counters of the datagram socket.
func (c *Cluster) Traffic() gossipudp.Stats { return c.socket.Stats() }

// Generation returns the generation in force. Its number is 0 if there is none.
func (c *Cluster) Generation() port.Generation { return c.state.Current() }

// Ready reports whether a generation is in force.
func (c *Cluster) Ready() bool { return c.state.Ready() }

// SourceAge returns the time since the last contact with the replicated state, either
// of this daemon or reported by other daemons. It returns false if there was no contact.
func (c *Cluster) SourceAge() (time.Duration, bool) { return c.node.SourceAge(time.Now()) }

// EndpointURLs returns the base URLs at which endpoints can announce themselves to the
// other daemons of the failure domain that are alive.
func (c *Cluster) EndpointURLs() []string {
	var urls []string
	for _, p := range c.node.Peers() {
		if p.Status == member.Alive && p.EndpointURL != "" {
			urls = append(urls, p.EndpointURL)
		}
	}
	return urls
}

// Status queries the status of all known daemons, such as the generation in force.
// Daemons that do not answer are listed with Answers unset.
func (c *Cluster) Status(ctx context.Context) []distribute.DaemonStatus {
	var mu sync.Mutex
	var list []distribute.DaemonStatus
	var queries sync.WaitGroup
	add := func(found []distribute.DaemonStatus) {
		mu.Lock()
		defer mu.Unlock()
		list = append(list, found...)
	}
	queries.Go(func() { add(c.domainStatus(ctx)) })
	for _, domain := range c.node.Domains(time.Now()) {
		queries.Go(func() { add(c.remoteStatus(ctx, domain)) })
	}
	queries.Wait()
	slices.SortFunc(list, func(a, b distribute.DaemonStatus) int {
		return strings.Compare(a.Domain+"/"+a.Name, b.Domain+"/"+b.Name)
	})
	return list
}

func (c *Cluster) localStatus() distribute.DaemonStatus {
	self := c.node.Self()
	status := distribute.DaemonStatus{
		Name: self.Name, Domain: self.Domain, Generation: c.state.Current().Number, Answers: true, SourceAgeMS: -1,
	}
	if age, ok := c.SourceAge(); ok {
		status.SourceAgeMS = age.Milliseconds()
	}
	if err := c.state.Failure(); err != nil {
		status.Failure = err.Error()
	}
	return status
}

// domainStatus queries the daemons of the own failure domain.
func (c *Cluster) domainStatus(ctx context.Context) []distribute.DaemonStatus {
	peers := slices.DeleteFunc(c.node.Peers(), func(p member.Peer) bool { return p.Status == member.Left })
	list := make([]distribute.DaemonStatus, len(peers)+1)
	list[len(peers)] = c.localStatus()
	var queries sync.WaitGroup
	for i, p := range peers {
		queries.Go(func() {
			list[i] = distribute.DaemonStatus{Name: p.Name, Domain: p.Domain, Generation: p.Generation, SourceAgeMS: -1}
			if found, err := c.queryStatus(ctx, p.Address, false, statusQueryTimeout); err == nil && len(found) == 1 {
				list[i] = found[0]
			}
		})
	}
	queries.Wait()
	return list
}

// remoteStatus queries the relays of another failure domain one after the other until
// one answers. If none does, it returns the relays with Answers unset.
func (c *Cluster) remoteStatus(ctx context.Context, domain member.DomainView) []distribute.DaemonStatus {
	var unanswered []distribute.DaemonStatus
	for _, relay := range domain.Relays {
		found, err := c.queryStatus(ctx, relay.Address, true, 2*statusQueryTimeout)
		if err == nil {
			return found
		}
		unanswered = append(unanswered, distribute.DaemonStatus{
			Name: relay.Name, Domain: domain.Domain, Generation: domain.Generation, SourceAgeMS: -1,
		})
	}
	return unanswered
}

func (c *Cluster) queryStatus(ctx context.Context, address string, domain bool, timeout time.Duration) ([]distribute.DaemonStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request := distribute.StatusRequest{Domain: domain}
	reply, err := c.options.RPC.Call(ctx, address, distribute.MethodStatus, distribute.Marshal(&request))
	if err != nil {
		return nil, err
	}
	var list []distribute.DaemonStatus
	if err := distribute.Unmarshal(reply, &list); err != nil {
		return nil, err
	}
	return list, nil
}

func (c *Cluster) handleStatus(ctx context.Context, params []byte) ([]byte, error) {
	var r distribute.StatusRequest
	if err := distribute.Unmarshal(params, &r); err != nil {
		return nil, err
	}
	list := []distribute.DaemonStatus{c.localStatus()}
	if r.Domain {
		list = c.domainStatus(ctx)
	}
	return distribute.Marshal(list), nil
}
