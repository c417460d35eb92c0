package member

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/boragelead/boragelead/api/endpoint"
)

const (
	simStep  = 50 * time.Millisecond
	simLease = 4 * time.Second
)

// simNet is a network of daemons in virtual time. It can lose, duplicate, delay and
// reorder datagrams, and block paths in one direction.
type simNet struct {
	random *rand.Rand
	now    time.Time
	// loss and duplication are shares of datagrams in percent; delay is the longest
	// delay in steps.
	loss, duplication, delay int
	blocked                  map[[2]string]bool
	nodes                    map[string]*simNode
	inFlight                 []simPacket
	starts                   uint64
	endpoints                map[string]*simEndpoint
	faults                   []string
}

type simPacket struct {
	from, to string
	due      time.Time
	data     []byte
}

// simNode is a daemon with a history of what it has listed and declared.
type simNode struct {
	*Node
	registry *Registry
	paused   bool
	// highestShown holds the highest incarnation that the daemon listed, by endpoint.
	highestShown map[string]uint64
	// shownLeaving holds the last incarnation that the daemon listed as leaving, by
	// endpoint.
	shownLeaving map[string]uint64
	// declaredDead holds the identities that the daemon declared dead or departed.
	declaredDead map[Identity]bool
}

// simEndpoint is the reference model of an endpoint.
type simEndpoint struct {
	id               string
	host             string
	incarnation      uint64
	seq              uint64
	state            endpoint.State
	up               bool
	nextAnnouncement time.Time
}

func newSim(seed uint64) *simNet {
	return &simNet{
		random: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1000, 0), blocked: make(map[[2]string]bool),
		nodes: make(map[string]*simNode), endpoints: make(map[string]*simEndpoint),
	}
}

// start starts a daemon. It replaces a daemon of the same name and address, which
// does not announce its departure.
func (s *simNet) start(name string, seeds ...string) {
	s.starts++
	registry := NewRegistry()
	node := New(Options{
		Self:  Identity{Name: name, Instance: s.starts<<32 | uint64(s.random.Uint32()), Incarnation: 1, Domain: "a", Address: name},
		Seeds: seeds, Registry: registry, Random: rand.New(rand.NewPCG(s.starts, 3)),
	}, s.now)
	s.nodes[name] = &simNode{
		Node: node, registry: registry, highestShown: make(map[string]uint64), shownLeaving: make(map[string]uint64), declaredDead: make(map[Identity]bool),
	}
}

func (s *simNet) names() []string {
	names := make([]string, 0, len(s.nodes))
	for name := range s.nodes {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (s *simNet) reachable(from, to string) bool {
	target := s.nodes[to]
	return target != nil && !target.paused && !s.blocked[[2]string{from, to}]
}

func (s *simNet) transmit(from string, out Output) {
	for _, p := range out.Packets {
		copies := 1
		if s.random.IntN(100) < s.duplication {
			copies = 2
		}
		for range copies {
			if s.random.IntN(100) < s.loss {
				continue
			}
			due := s.now.Add(time.Duration(s.random.IntN(s.delay+1)) * simStep)
			s.inFlight = append(s.inFlight, simPacket{from, p.Address, due, p.Data})
		}
	}
	for _, address := range out.Syncs {
		s.sync(from, address)
	}
	for _, pull := range out.Pulls {
		if reply, ok := s.call(from, pull.Address, func(n *simNode) ([]byte, error) { return n.HandlePull(s.now, pull.Request) }); ok {
			s.recordError(s.nodes[from].ApplyPull(s.now, reply))
		}
	}
}

func (s *simNet) sync(from, to string) {
	for _, hashOnly := range []bool{true, false} {
		request := s.nodes[from].BuildSync(s.now, hashOnly)
		reply, ok := s.call(from, to, func(n *simNode) ([]byte, error) { return n.HandleSync(s.now, request) })
		if !ok {
			return
		}
		fullNeeded, err := s.nodes[from].ApplySync(s.now, reply)
		s.recordError(err)
		if !fullNeeded {
			return
		}
	}
}

// call is an RPC, which needs paths in both directions.
func (s *simNet) call(from, to string, run func(*simNode) ([]byte, error)) ([]byte, bool) {
	if !s.reachable(from, to) || !s.reachable(to, from) {
		return nil, false
	}
	reply, err := run(s.nodes[to])
	s.recordError(err)
	return reply, true
}

func (s *simNet) recordError(err error) {
	if err != nil {
		s.faults = append(s.faults, err.Error())
	}
}

// run advances the time by d in steps.
func (s *simNet) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(simStep)
		s.announce()
		s.deliver()
		for _, name := range s.names() {
			if n := s.nodes[name]; !n.paused {
				out := n.Tick(s.now)
				s.checkEvents(n, out)
				s.transmit(name, out)
			}
		}
		for _, name := range s.names() {
			s.checkEndpoints(name, s.nodes[name])
		}
	}
}

func (s *simNet) deliver() {
	due := s.inFlight[:0:0]
	var later []simPacket
	for _, p := range s.inFlight {
		if p.due.After(s.now) {
			later = append(later, p)
		} else {
			due = append(due, p)
		}
	}
	s.inFlight = later
	s.random.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	for _, p := range due {
		if !s.reachable(p.from, p.to) {
			continue
		}
		n := s.nodes[p.to]
		out, err := n.Receive(s.now, p.from, p.data)
		s.recordError(err)
		s.checkEvents(n, out)
		s.transmit(p.to, out)
	}
}

// announce makes each endpoint announce itself every second. An endpoint whose
// daemon does not run chooses another one.
func (s *simNet) announce() {
	for _, id := range s.endpointIDs() {
		e := s.endpoints[id]
		if !e.up || s.now.Before(e.nextAnnouncement) {
			continue
		}
		e.nextAnnouncement = s.now.Add(time.Second)
		if n := s.nodes[e.host]; n == nil || n.paused {
			e.host = s.names()[s.random.IntN(len(s.nodes))]
			continue
		}
		e.seq++
		s.nodes[e.host].registry.Announce(endpoint.Announcement{
			ID: e.id, Incarnation: e.incarnation, State: e.state, Slots: 4, LeaseMS: simLease.Milliseconds(),
			Models: []endpoint.LoadedModel{{Name: "m"}}, Load: endpoint.Load{Seq: e.seq, Running: s.random.IntN(4)},
		}, s.now)
	}
}

func (s *simNet) endpointIDs() []string {
	ids := make([]string, 0, len(s.endpoints))
	for id := range s.endpoints {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// checkEvents checks that no daemon becomes alive again in an incarnation that was
// declared dead or departed.
func (s *simNet) checkEvents(n *simNode, out Output) {
	for _, event := range out.Events {
		if event.Status == Dead || event.Status == Left {
			n.declaredDead[event.Peer] = true
		} else if n.declaredDead[event.Peer] {
			s.faults = append(s.faults, fmt.Sprintf("%s: dead or departed daemon %v is %v again", n.self.Name, event.Peer, event.Status))
		}
	}
}

// checkEndpoints checks the endpoints that a daemon lists after a step.
func (s *simNet) checkEndpoints(name string, n *simNode) {
	for _, e := range n.registry.List() {
		fault := ""
		switch {
		case e.Incarnation < n.highestShown[e.ID]:
			fault = "older incarnation listed"
		case e.Incarnation == n.shownLeaving[e.ID] && e.State != endpoint.StateLeaving:
			fault = "leaving endpoint listed as " + string(e.State)
		case s.endpoints[e.ID] != nil && e.Incarnation > s.endpoints[e.ID].incarnation:
			fault = "incarnation listed that has not started yet"
		}
		if fault != "" {
			s.faults = append(s.faults, fmt.Sprintf("%v %s: %s %d: %s", s.now, name, e.ID, e.Incarnation, fault))
		}
		n.highestShown[e.ID] = e.Incarnation
		if e.State == endpoint.StateLeaving {
			n.shownLeaving[e.ID] = e.Incarnation
		}
	}
}

// heal ends all faults of the network.
func (s *simNet) heal() {
	clear(s.blocked)
	s.loss, s.duplication, s.delay = 0, 0, 0
	for _, n := range s.nodes {
		n.paused = false
	}
}

// differences compares the view of every daemon with the reference model.
func (s *simNet) differences() []string {
	var list []string
	for _, name := range s.names() {
		n := s.nodes[name]
		alive := 0
		for _, p := range n.Peers() {
			if p.Status == Alive && p.ReceivesFromSelf && s.nodes[p.Name].self.Instance == p.Instance {
				alive++
			} else if p.Status != Dead && p.Status != Left {
				list = append(list, fmt.Sprintf("%s considers %s %v, receives from it %t", name, p.Name, p.Status, p.ReceivesFromSelf))
			}
		}
		if alive != len(s.nodes)-1 {
			list = append(list, fmt.Sprintf("%s hears %d of %d daemons", name, alive, len(s.nodes)-1))
		}
		for _, id := range s.endpointIDs() {
			want, got := s.endpoints[id], n.registry.Find(id)
			switch {
			case want.up && got == nil:
				list = append(list, fmt.Sprintf("%s does not list %s", name, id))
			case want.up && (got.Incarnation != want.incarnation || got.State != want.state):
				list = append(list, fmt.Sprintf("%s lists %s %d %s, want %d %s", name, id, got.Incarnation, got.State, want.incarnation, want.state))
			case !want.up && got != nil:
				list = append(list, fmt.Sprintf("%s still lists %s", name, id))
			}
		}
	}
	return list
}
