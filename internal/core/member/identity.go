package member

import "time"

// Identity names one life of a daemon.
type Identity struct {
	// Name is unique among the daemons and survives restarts.
	Name string
	// Instance is drawn at random at each start.
	Instance uint64
	// Incarnation grows when the daemon learns that an older life of its name,
	// or its own death, is known elsewhere.
	Incarnation uint32
	Domain      string
	Region      string
	// Address is the IP:port for daemons, over TCP and UDP.
	Address string
	// EndpointURL is the base URL to which endpoints announce themselves.
	EndpointURL string
	// CallerURL is the base URL that serves callers, for forwarding between entries.
	CallerURL string
}

// Status is what this daemon believes of another one of its failure domain.
type Status uint8

// Statuses of a daemon.
const (
	// Alive means that it was heard within SuspectAfter.
	Alive Status = iota + 1
	// Indirect means that only other daemons hear it: the path to here is broken.
	Indirect
	// Dead means that no daemon known here hears it.
	Dead
	// Left means that it said it was leaving.
	Left
)

// String returns the name of the status.
func (s Status) String() string {
	switch s {
	case Alive:
		return "alive"
	case Indirect:
		return "indirect"
	case Dead:
		return "dead"
	case Left:
		return "left"
	}
	return "unknown"
}

// Peer is another daemon of the failure domain as seen from here.
type Peer struct {
	Identity
	Status Status
	// HearsMe is false when the peer says that it does not hear this daemon.
	HearsMe bool
	// Generation is the configuration generation that the peer has in force.
	Generation uint64
	// LastHeard is the local time of its newest direct message.
	LastHeard time.Time
}

// Event is a change of a daemon's status.
type Event struct {
	Peer   Identity
	Status Status
}

// peer is the state behind a Peer.
type peer struct {
	Peer
	lastSeq uint32
	// evidence is when another daemon last vouched for this one.
	evidence time.Time
	diedAt   time.Time
	// view is the order in which the peer lists the daemons in heard.
	viewHash     uint32
	view         []uint64
	heard        []byte
	heardHash    uint32
	mismatchFrom time.Time
	nextProbe    time.Time
	payloads     map[string]Payload
}

func (p *peer) present() bool { return p.Status == Alive || p.Status == Indirect }

// Payload is a small message of a daemon that another package defines.
type Payload struct {
	Daemon   string
	Instance uint64
	Data     []byte
	// At is the local time of its arrival.
	At time.Time
}

// Notice tells a daemon that its incarnation is dead here or taken by another
// life of its name, so that it takes a higher one.
type Notice struct {
	Instance    uint64
	Incarnation uint32
}

// ModelSummary is the state of one model in a failure domain.
type ModelSummary struct {
	Name      string
	Ready     uint16
	FreeSlots uint16
	Queue     uint16
	// PriceClass is the lowest price class among the ready endpoints; lower is cheaper.
	PriceClass uint8
}

// Summary is what a failure domain tells the others.
type Summary struct {
	Domain string
	// Origin and Seq order the summaries of one relay.
	Origin     uint64
	Seq        uint32
	AgeMS      uint32
	Generation uint64
	// SourceAge is like that of a datagram, at the time AgeMS ago.
	SourceAge uint16
	Relays    []Relay
	Models    []ModelSummary
}

// Relay is a daemon that speaks for its failure domain.
type Relay struct {
	Name     string
	Instance uint64
	Address  string
}

// DomainView is another failure domain as known here.
type DomainView struct {
	Summary
	// Age is how old the figures are.
	Age time.Duration
}
