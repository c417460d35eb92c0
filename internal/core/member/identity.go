package member

import "time"

// Identity identifies one run of a daemon, from a start to the next restart.
type Identity struct {
	// Name is unique among the daemons and survives restarts.
	Name string
	// Instance is a random number that the daemon draws at each start.
	Instance uint64
	// Incarnation is raised when the daemon learns that others know an earlier
	// run under its name, or that they consider this run dead.
	Incarnation uint32
	Domain      string
	Region      string
	// Address is the IP:port for other daemons, for both TCP and UDP.
	Address string
	// EndpointURL is the base URL to which endpoints announce themselves.
	EndpointURL string
	// CallerURL is the base URL that serves callers. Other entries forward requests to it.
	CallerURL string
}

// Status is the state of another daemon of the failure domain as seen by this daemon.
type Status uint8

// Statuses of a daemon.
const (
	// Alive means that a datagram of it arrived within SuspectAfter.
	Alive Status = iota + 1
	// Indirect means that only other daemons receive its datagrams, because the
	// path from it to this daemon is broken.
	Indirect
	// Dead means that no known daemon receives its datagrams.
	Dead
	// Left means that it announced its departure.
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

// Peer is another daemon of the failure domain as seen by this daemon.
type Peer struct {
	Identity
	Status Status
	// ReceivesFromSelf is false if the peer reports that it receives no datagrams
	// from this daemon, or if the order of the peer's bitmap is unknown.
	ReceivesFromSelf bool
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

// peer is a Peer with the internal state of the protocol.
type peer struct {
	Peer
	lastSeq uint32
	// lastVouched is the newest local time at which the peer was alive according
	// to another daemon.
	lastVouched time.Time
	absentSince time.Time
	// bitmapOrder is the last known order of the daemons in the peer's heard bitmap
	// and bitmapOrderHash is its hash. heardOrderHash is the hash of the order that the
	// newest heardBitmap uses.
	bitmapOrderHash uint32
	bitmapOrder     []uint64
	heardBitmap     []byte
	heardOrderHash  uint32
	mismatchSince   time.Time
	nextProbe       time.Time
	payloads        map[string]Payload
}

func (p *peer) live() bool { return p.Status == Alive || p.Status == Indirect }

// Payload is a small message from a daemon, whose content another package defines.
type Payload struct {
	Daemon   string
	Instance uint64
	Data     []byte
	// At is the local time of its arrival.
	At time.Time
}

// Notice informs a daemon that the sender considers its incarnation dead, or
// knows another run under the same name with the same or a higher incarnation.
// The daemon then takes a higher incarnation.
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

// Summary is the state of a failure domain that its relays send to other domains.
type Summary struct {
	Domain string
	// Origin and Seq order the summaries of one relay.
	Origin     uint64
	Seq        uint32
	AgeMS      uint32
	Generation uint64
	// SourceAge is the age of the last contact with the configuration source at
	// the time AgeMS ago, in units of sourceAgeUnit.
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

// DomainView is what this daemon knows of another failure domain.
type DomainView struct {
	Summary
	// Age is the time since the figures of the summary were measured.
	Age time.Duration
}
