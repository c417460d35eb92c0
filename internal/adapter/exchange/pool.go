package exchange

import (
	"sync"
	"time"
)

const (
	// closeMargin is subtracted from the idle timeout of an endpoint, so that a
	// connection is not used when the endpoint is about to close it.
	closeMargin = 500 * time.Millisecond
	// poolShards is the number of shards, each with a lock of its own, over
	// which the addresses are distributed.
	poolShards = 16
)

// pool holds the idle connections of each address, the most recently used one last.
type pool struct {
	idleTimeout time.Duration
	shards      [poolShards]poolShard
}

type poolShard struct {
	mu   sync.Mutex
	idle map[string][]*conn
}

func newPool(idleTimeout time.Duration) *pool {
	p := &pool{idleTimeout: idleTimeout}
	for i := range p.shards {
		p.shards[i].idle = make(map[string][]*conn)
	}
	return p
}

func (p *pool) shard(address string) *poolShard {
	hash := 0
	for i := range len(address) {
		hash = hash*31 + int(address[i])
	}
	return &p.shards[uint(hash)%poolShards]
}

// get removes a usable idle connection from the pool and returns it, or returns nil.
func (p *pool) get(address string, now time.Time) *conn {
	s := p.shard(address)
	for {
		s.mu.Lock()
		list := s.idle[address]
		if len(list) == 0 {
			s.mu.Unlock()
			return nil
		}
		last := list[len(list)-1]
		s.idle[address] = list[:len(list)-1]
		s.mu.Unlock()
		if now.Before(last.expiresAt) && last.isUsable() {
			last.reused = true
			last.sendStarted.Store(false)
			return last
		}
		_ = last.Close()
	}
}

// put adds a connection to the pool. endpointTimeout is the idle timeout that the
// endpoint announced; 0 means none.
func (p *pool) put(address string, c *conn, endpointTimeout time.Duration, now time.Time) {
	timeout := p.idleTimeout
	if endpointTimeout > 0 {
		timeout = min(timeout, endpointTimeout-closeMargin)
	}
	c.expiresAt = now.Add(timeout)
	s := p.shard(address)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.idle[address] = append(s.idle[address], c)
}

func (p *pool) forget(address string) {
	s := p.shard(address)
	s.mu.Lock()
	list := s.idle[address]
	delete(s.idle, address)
	s.mu.Unlock()
	closeAll(list)
}

func (p *pool) sweep(now time.Time) {
	for i := range p.shards {
		closeAll(p.shards[i].removeExpired(now))
	}
}

// removeExpired removes and returns the connections that have expired.
func (s *poolShard) removeExpired(now time.Time) []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	var expired []*conn
	for address, list := range s.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.expiresAt) {
				kept = append(kept, c)
			} else {
				expired = append(expired, c)
			}
		}
		s.idle[address] = kept
		if len(kept) == 0 {
			delete(s.idle, address)
		}
	}
	return expired
}

func (p *pool) close() {
	for i := range p.shards {
		s := &p.shards[i]
		s.mu.Lock()
		idle := s.idle
		s.idle = make(map[string][]*conn)
		s.mu.Unlock()
		for _, list := range idle {
			closeAll(list)
		}
	}
}

func closeAll(list []*conn) {
	for _, c := range list {
		_ = c.Close()
	}
}
