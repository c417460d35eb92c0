// Package link defines the messages between entries and state replicas of the
// gateway. Every entry polls the leading replica and some others: a poll
// carries what the entry counted and waits for news, so that changes arrive at
// once and the loss of a replica costs nothing.
package link

import (
	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/boragelead/boragelead/internal/gateway/meter"
	"github.com/boragelead/boragelead/internal/gateway/registry"
)

// Methods between daemons.
const (
	// MethodPoll is called by entries at replicas.
	MethodPoll = "gateway.poll"
	// MethodSpend is called by entries at the replica that leads.
	MethodSpend = "gateway.spend"
	// MethodShare is called by replicas at replicas: announcements of endpoints.
	MethodShare = "gateway.share"
)

// MaxFollowed is the number of replicas that an entry polls while there is a
// leader. In a larger group only the leader hears all entries.
const MaxFollowed = 4

// PollRequest says what an entry has and what it counted.
type PollRequest struct {
	Entry       string `msgpack:"e"`
	Incarnation uint64 `msgpack:"i"`
	// Generation is the newest document that the entry holds.
	Generation uint64 `msgpack:"g"`
	// Run and Change tell how far the entry knows this replica's registry.
	Run    uint64 `msgpack:"r"`
	Change uint64 `msgpack:"c"`
	// WaitMS is how long to wait for news, in milliseconds.
	WaitMS int64 `msgpack:"w"`
	// Usage holds cumulative counts of the newest windows.
	Usage []meter.Counts `msgpack:"u,omitempty"`
	// Demand by workspace, in units of the quota per second.
	Demand map[string]float64 `msgpack:"d,omitempty"`
	// Load holds the attempts in flight by service.
	Load map[string]int `msgpack:"l,omitempty"`
	// Crashes holds marks of requests that crashed endpoints, those that the
	// entry observed since the replica took its last ones.
	Crashes []byte `msgpack:"x,omitempty"`
	// Marks tells how far the entry knows the marks of this replica.
	Marks uint64 `msgpack:"k,omitempty"`
}

// PollReply carries what is new.
type PollReply struct {
	// Run names this run of the replica's process.
	Run uint64 `msgpack:"r"`
	// Generation and Document are set when they are newer than the entry's.
	Generation uint64 `msgpack:"g,omitempty"`
	Document   []byte `msgpack:"b,omitempty"`
	// Leads is set when the replica leads the state.
	Leads bool `msgpack:"a,omitempty"`
	// Leader is the address of the replica that leads as far as is known here;
	// "" for none.
	Leader string `msgpack:"h,omitempty"`
	// Whole is set when Endpoints replaces all that was sent before.
	Whole     bool            `msgpack:"w,omitempty"`
	Endpoints []registry.View `msgpack:"e,omitempty"`
	Change    uint64          `msgpack:"c"`
	// Replicas are the addresses of all replicas.
	Replicas []string `msgpack:"m,omitempty"`
	// HearsAll is set when all entries poll this replica, so that Entries and
	// Demand are sums over all of them.
	HearsAll bool `msgpack:"y,omitempty"`
	// Entries is the number of entries that polled lately.
	Entries int `msgpack:"n"`
	// Demand of the entries by workspace.
	Demand map[string]float64 `msgpack:"d,omitempty"`
	// Crashes holds the marks of all entries that changed, up to Marks.
	Crashes []byte `msgpack:"x,omitempty"`
	Marks   uint64 `msgpack:"k,omitempty"`
	// TimeNS is the agreed time of day when the reply was sent, in Unix nanoseconds.
	TimeNS int64 `msgpack:"t"`
}

// SpendRequest asks for a part of the quota that is not divided among entries.
type SpendRequest struct {
	Workspace string  `msgpack:"w"`
	Cost      float64 `msgpack:"c"`
}

// SpendReply grants the cost, or says how long until it could be granted.
type SpendReply struct {
	Granted bool  `msgpack:"g"`
	WaitMS  int64 `msgpack:"w,omitempty"`
}

// ShareRequest passes announcements of endpoints on.
type ShareRequest struct {
	Sightings []registry.Sighting `msgpack:"s"`
}

// ShareReply answers a ShareRequest.
type ShareReply struct {
	// ClockNS is the time of day by the clock of the replica alone, in Unix nanoseconds.
	ClockNS int64 `msgpack:"t"`
}

// Encode returns the bytes of a message. The types of this package always encode.
func Encode(message any) ([]byte, error) {
	data, err := msgpack.Marshal(message)
	return data, eris.Wrap(err, "encode message between daemons")
}

// Decode reads a message.
func Decode(data []byte, message any) error {
	return eris.Wrap(msgpack.Unmarshal(data, message), "decode message between daemons")
}
