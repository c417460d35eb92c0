package replica_test

import (
	"context"
	"encoding/gob"
	"errors"
	"net"
	"sync"

	"github.com/boragelead/boragelead/internal/port"
)

// frame is one message of the test protocol. A notification has ID 0.
type frame struct {
	ID     uint64
	Reply  bool
	From   string
	Method string
	Data   []byte
	Err    string
}

// faults records which directed links between addresses are cut.
type faults struct {
	mu  sync.Mutex
	cut map[[2]string]bool
}

func (f *faults) setCut(from, to string, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut[[2]string{from, to}] = cut
}

func (f *faults) isCut(from, to string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cut[[2]string{from, to}]
}

// peer implements port.PeerServer and port.PeerCaller over loopback TCP with one
// connection per pair of peers.
type peer struct {
	address  string
	faults   *faults
	handlers map[string]port.PeerHandler
	listener net.Listener
	ctx      context.Context
	cancel   context.CancelFunc

	mu        sync.Mutex
	conns     map[string]*conn
	openConns []net.Conn
}

type conn struct {
	mu      sync.Mutex
	out     *gob.Encoder
	waiting map[uint64]chan frame
	next    uint64
	broken  bool
}

func newPeer(address string, f *faults) (*peer, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &peer{
		address: listener.Addr().String(), faults: f, handlers: map[string]port.PeerHandler{},
		listener: listener, conns: map[string]*conn{},
	}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	return p, nil
}

func (p *peer) Handle(method string, handler port.PeerHandler) { p.handlers[method] = handler }

func (p *peer) serve() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.track(c)
		go p.serveConn(c)
	}
}

func (p *peer) track(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openConns = append(p.openConns, c)
}

func (p *peer) close() {
	p.cancel()
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.openConns {
		_ = c.Close()
	}
}

func (p *peer) serveConn(c net.Conn) {
	in, out := gob.NewDecoder(c), &conn{out: gob.NewEncoder(c)}
	for {
		var f frame
		if in.Decode(&f) != nil {
			return
		}
		if f.ID == 0 {
			_, _ = p.handlers[f.Method](p.ctx, f.Data)
			continue
		}
		go func() {
			reply := frame{ID: f.ID, Reply: true}
			data, err := p.handlers[f.Method](p.ctx, f.Data)
			if reply.Data = data; err != nil {
				reply.Err = err.Error()
			}
			if !p.faults.isCut(p.address, f.From) {
				_ = out.send(&reply)
			}
		}()
	}
}

func (c *conn) send(f *frame) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.out.Encode(f)
}

func (p *peer) dial(address string) (*conn, error) {
	p.mu.Lock()
	known := p.conns[address]
	p.mu.Unlock()
	if known != nil && !known.isBroken() {
		return known, nil
	}
	raw, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	p.track(raw)
	c := &conn{out: gob.NewEncoder(raw), waiting: map[uint64]chan frame{}}
	p.mu.Lock()
	p.conns[address] = c
	p.mu.Unlock()
	go c.read(raw)
	return c, nil
}

func (c *conn) isBroken() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.broken
}

func (c *conn) read(raw net.Conn) {
	in := gob.NewDecoder(raw)
	for {
		var f frame
		err := in.Decode(&f)
		c.mu.Lock()
		if err != nil {
			c.broken = true
			for _, w := range c.waiting {
				close(w)
			}
			c.waiting = nil
			c.mu.Unlock()
			return
		}
		if w := c.waiting[f.ID]; w != nil {
			delete(c.waiting, f.ID)
			w <- f
		}
		c.mu.Unlock()
	}
}

var errBroken = errors.New("connection broken")

func (p *peer) Call(ctx context.Context, address, method string, params []byte) ([]byte, error) {
	if p.faults.isCut(p.address, address) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	c, err := p.dial(address)
	if err != nil {
		return nil, err
	}
	answer := make(chan frame, 1)
	c.mu.Lock()
	if c.broken {
		c.mu.Unlock()
		return nil, errBroken
	}
	c.next++
	id := c.next
	c.waiting[id] = answer
	err = c.out.Encode(&frame{ID: id, From: p.address, Method: method, Data: params})
	c.mu.Unlock()
	if err != nil {
		return nil, err
	}
	select {
	case f, ok := <-answer:
		if !ok {
			return nil, errBroken
		}
		if f.Err != "" {
			return nil, errors.New(f.Err)
		}
		return f.Data, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (p *peer) Notify(_ context.Context, address, method string, params []byte) error {
	if p.faults.isCut(p.address, address) {
		return nil
	}
	c, err := p.dial(address)
	if err != nil {
		return err
	}
	return c.send(&frame{From: p.address, Method: method, Data: params})
}
