package exchange

import (
	"sync"
	"time"
)

const (
	// closeMargin keeps a connection from being used when its endpoint is about to close it.
	closeMargin = 500 * time.Millisecond
	// poolShards spreads the addresses over locks.
	poolShards = 16
)

// pool holds idle connections by address, the most recently used last.
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
	sum := 0
	for i := range len(address) {
		sum = sum*31 + int(address[i])
	}
	return &p.shards[uint(sum)%poolShards]
}

// take returns a quiet idle connection, or nil.
func (p *pool) take(address string, now time.Time) *conn {
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
		if now.Before(last.until) && last.isQuiet() {
			last.reused = true
			last.started.Store(false)
			return last
		}
		_ = last.Close()
	}
}

func (p *pool) put(address string, c *conn, named time.Duration, now time.Time) {
	timeout := p.idleTimeout
	if named > 0 {
		timeout = min(timeout, named-closeMargin)
	}
	c.until = now.Add(timeout)
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
		closeAll(p.shards[i].expired(now))
	}
}

// expired takes out the connections whose time is over.
func (s *poolShard) expired(now time.Time) []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	var old []*conn
	for address, list := range s.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.until) {
				kept = append(kept, c)
			} else {
				old = append(old, c)
			}
		}
		s.idle[address] = kept
		if len(kept) == 0 {
			delete(s.idle, address)
		}
	}
	return old
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
