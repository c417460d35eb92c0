// Package link defines the messages between the entries and the state replicas of
// the gateway. Every entry polls the leader and some other replicas. A poll carries
// the counts of the entry, and the replica delays its answer until there are
// changes, so that they arrive at once. The loss of one replica delays nothing,
// since the entry polls several.
package link

import (
	"net/netip"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/boragelead/boragelead/internal/gateway/docsync"
	"github.com/boragelead/boragelead/internal/gateway/meter"
	"github.com/boragelead/boragelead/internal/gateway/prompts"
	"github.com/boragelead/boragelead/internal/gateway/quota"
	"github.com/boragelead/boragelead/internal/gateway/ratelimit"
	"github.com/boragelead/boragelead/internal/gateway/registry"
	"github.com/boragelead/boragelead/internal/gateway/rollout"
	"github.com/boragelead/boragelead/internal/gateway/streams"
)

// Methods of calls between daemons.
const (
	// MethodPoll is called by entries on state replicas.
	MethodPoll = "gateway.poll"
	// MethodSpend is called by entries on the leader.
	MethodSpend = "gateway.spend"
	// MethodCrashes notifies the leader of crashes that an entry has observed.
	MethodCrashes = "gateway.crashes"
	// MethodPartProbe is called by entries on the leader.
	MethodPartProbe = "gateway.part_probe"
	// MethodShare is called by state replicas on each other, to forward announcements
	// of endpoints.
	MethodShare = "gateway.share"
	// MethodOrigins notifies state replicas of the software versions at which streams
	// began, and MethodOrigin asks for that of one stream. Both are called by entries.
	MethodOrigins = "gateway.origins"
	MethodOrigin  = "gateway.origin"
	// MethodDeparture is called by entries on state replicas, to announce an endpoint that
	// said in an answer that it leaves.
	MethodDeparture = "gateway.departure"
	// MethodDocument is called by entries on state replicas, to fetch a document.
	MethodDocument = "gateway.document"
	// MethodPromptsNotice notifies the leader of long prompts that an entry has sent to
	// endpoints, and MethodPrompts asks the leader for those of the other entries.
	MethodPromptsNotice = "gateway.prompts_notice"
	MethodPrompts       = "gateway.prompts"
)

// MaxFollowed is the number of state replicas that an entry polls while there is a
// leader. In a larger group only the leader is polled by all entries.
const MaxFollowed = 4

// PollRequest reports the versions that an entry has, and its counts.
type PollRequest struct {
	Entry       string `msgpack:"e"`
	Incarnation uint64 `msgpack:"i"`
	// Generation is that of the newest document that the entry has; 0 without one.
	Generation uint64 `msgpack:"g"`
	// ReplicaRun and RegistryVersion are the run and the registry version of this
	// replica that the entry received last.
	ReplicaRun      uint64 `msgpack:"r"`
	RegistryVersion uint64 `msgpack:"c"`
	// WaitMS is how long the replica may wait for changes, in milliseconds.
	WaitMS int64 `msgpack:"w"`
	// Usage holds the cumulative request counts of the newest windows.
	Usage []meter.Counts `msgpack:"u,omitempty"`
	// Demand is the demand of the entry by workspace, in units of the quota per second.
	Demand map[string]float64 `msgpack:"d,omitempty"`
	// UsesLeases is set if the entry takes its shares of quotas from leases; LeaseID and
	// LeaseEven are those of its newest one.
	UsesLeases bool    `msgpack:"h,omitempty"`
	LeaseID    uint64  `msgpack:"s,omitempty"`
	LeaseEven  float64 `msgpack:"t,omitempty"`
	// Load holds the number of running attempts by service.
	Load map[string]int `msgpack:"l,omitempty"`
	// Work is the demand for the time of endpoints to process prompts, by service, in
	// seconds per second.
	Work map[string]float64 `msgpack:"j,omitempty"`
	// Crashes holds the records of requests that crashed endpoints, as far as the
	// entry made them and the replica has not yet acknowledged them.
	Crashes []byte `msgpack:"x,omitempty"`
	// CrashVersion is the version of the replica's crash records that the entry has.
	CrashVersion uint64 `msgpack:"k,omitempty"`
	// ServiceDemand is the demand of the entry by service, in requests per second.
	ServiceDemand map[string]float64 `msgpack:"q,omitempty"`
	// RateLimits holds the limits that endpoints named to this entry and that the
	// replica has not yet acknowledged.
	RateLimits []ratelimit.Report `msgpack:"o,omitempty"`
	// RateLimitVersion is the version of the replica's limits that the entry has.
	RateLimitVersion uint64 `msgpack:"v,omitempty"`
	// Offer is how other entries may forward requests to this one; nil while they may not.
	Offer *Peer `msgpack:"f,omitempty"`
	// PeersID identifies the list of peers that the entry received last from this replica.
	PeersID uint64 `msgpack:"b,omitempty"`
	// Rollouts holds the evidence of this entry for the roll-outs that it knows.
	Rollouts []rollout.Report `msgpack:"v1,omitempty"`
	// RolloutVersion is the version of the replica's roll-out records that the entry has.
	RolloutVersion uint64 `msgpack:"v2,omitempty"`
}

// Peer is an entry that takes requests that other entries forward.
type Peer struct {
	Name string `msgpack:"n"`
	// Address is IP:port, and Key the secret that a forwarded request must carry.
	Address string `msgpack:"a"`
	Key     string `msgpack:"k"`
	Domain  string `msgpack:"d"`
	// CutOff lists the services whose endpoints the entry does not reach.
	CutOff []string `msgpack:"c,omitempty"`
}

// IsUsable reports whether requests can be forwarded to the peer as it is described.
func (p *Peer) IsUsable() bool {
	address, err := netip.ParseAddrPort(p.Address)
	return p.Name != "" && p.Key != "" && err == nil && address.Port() != 0 && !address.Addr().IsUnspecified()
}

// PollReply carries what changed since the versions in the request.
type PollReply struct {
	// ReplicaRun identifies this run of the replica's process.
	ReplicaRun uint64 `msgpack:"r"`
	// Generation is that of the newest document, if it is newer than the entry's. The
	// document itself is fetched with MethodDocument, so that it does not delay what
	// else has changed.
	Generation uint64 `msgpack:"g,omitempty"`
	// IsLeader is set when the replica is the leader.
	IsLeader bool `msgpack:"a,omitempty"`
	// Leader is the address of the leader that this replica knows; "" if it knows
	// none.
	Leader string `msgpack:"h,omitempty"`
	// FullUpdate is set when Endpoints replaces all endpoints that were sent before.
	FullUpdate bool            `msgpack:"w,omitempty"`
	Endpoints  []registry.View `msgpack:"e,omitempty"`
	// RegistryVersion is the version that Endpoints reaches. EndpointsFollow is set if
	// it is not the newest one, because not all changes fit into one answer.
	RegistryVersion uint64 `msgpack:"c"`
	EndpointsFollow bool   `msgpack:"p,omitempty"`
	// PastVersions lists the software versions of endpoints that left or were replaced
	// lately. It is set with FullUpdate. RecordedMS is how long the replica has
	// recorded them, in milliseconds.
	PastVersions []registry.ServiceVersion `msgpack:"f,omitempty"`
	RecordedMS   int64                     `msgpack:"b,omitempty"`
	// Replicas are the addresses of all replicas.
	Replicas []string `msgpack:"m,omitempty"`
	// PolledByAll is set when all entries poll this replica, so that Entries and
	// Demand are sums over all of them.
	PolledByAll bool `msgpack:"y,omitempty"`
	// Entries is the number of entries that polled recently, and Rank the position of
	// this entry among them, sorted by name.
	Entries int `msgpack:"n"`
	Rank    int `msgpack:"z,omitempty"`
	// Demand is the demand of the entries by workspace.
	Demand map[string]float64 `msgpack:"d,omitempty"`
	// GrantsLeases is set if the replica grants leases of quotas while it leads. A new leader
	// grants none until those of the former one have ended.
	GrantsLeases bool         `msgpack:"j,omitempty"`
	QuotaLease   *quota.Lease `msgpack:"s,omitempty"`
	// CommonInMS is how long a new leader will not grant from the common quotas yet, in
	// milliseconds.
	CommonInMS int64 `msgpack:"v0,omitempty"`
	// Crashes holds the changed crash records of all entries, up to CrashVersion.
	Crashes      []byte `msgpack:"x,omitempty"`
	CrashVersion uint64 `msgpack:"k,omitempty"`
	// ServiceDemand is the demand of the entries by service.
	ServiceDemand map[string]float64 `msgpack:"q,omitempty"`
	// Running is the number of running attempts of the entries by service.
	Running map[string]int `msgpack:"u,omitempty"`
	// RateLimits holds the changed limits of endpoints, up to RateLimitVersion.
	RateLimits       []ratelimit.Report `msgpack:"o,omitempty"`
	RateLimitVersion uint64             `msgpack:"v,omitempty"`
	// Peers lists some other entries to which this one may forward requests. It is set if
	// PeersID, which identifies the list, is not that of the request.
	Peers   []Peer `msgpack:"l,omitempty"`
	PeersID uint64 `msgpack:"i,omitempty"`
	// Rollouts holds the roll-out records of all services, if RolloutVersion is not that of
	// the request. RolloutVersion is that of the replica's state, the largest revision.
	Rollouts       []rollout.Record `msgpack:"v1,omitempty"`
	RolloutVersion uint64           `msgpack:"v2,omitempty"`
	// RolloutAgeMS is how long ago the replica last knew that its records were the newest, in
	// milliseconds. Only a leader that a majority confirms knows; negative means that the
	// replica does not know.
	RolloutAgeMS int64 `msgpack:"v3,omitempty"`
	// RolloutHeldMS is how long the replica had held the poll when it set RolloutAgeMS, in
	// milliseconds.
	RolloutHeldMS int64 `msgpack:"v4,omitempty"`
	// TimeNS is the agreed time of day when the reply was sent, in Unix nanoseconds.
	TimeNS int64 `msgpack:"t"`
}

// DocumentRequest asks for the manifest of the newest document, or for some of its
// chunks.
type DocumentRequest struct {
	// Chunks holds the IDs of the wanted chunks; without any, the manifest is wanted.
	Chunks []docsync.ID `msgpack:"c,omitempty"`
}

// DocumentReply carries the manifest, or chunks in the order in which they were asked
// for. If it has fewer chunks, the rest has to be asked for again.
type DocumentReply struct {
	// Generation is that of the newest document; 0 without one.
	Generation uint64            `msgpack:"g"`
	Manifest   *docsync.Manifest `msgpack:"m,omitempty"`
	// Chunks holds compressed chunks. It is empty if the newest document does not have
	// one of those that were asked for.
	Chunks [][]byte `msgpack:"c,omitempty"`
}

// OriginsNotice reports the software versions at which streams began.
type OriginsNotice struct {
	Origins []streams.Origins `msgpack:"o"`
}

// OriginRequest asks for the software version at which a stream began.
type OriginRequest struct {
	Key streams.Key `msgpack:"k"`
}

// OriginReply answers an OriginRequest.
type OriginReply struct {
	// Known is set if the replica knows the stream.
	Known   bool   `msgpack:"k,omitempty"`
	Version string `msgpack:"v,omitempty"`
}

// DepartureRequest announces endpoints that said in an answer that they leave, as the
// entry knows them.
type DepartureRequest struct {
	Entry     string              `msgpack:"n"`
	Endpoints []registry.Endpoint `msgpack:"e"`
}

// DepartureReply acknowledges that a majority of the replicas has stored that the
// endpoints leave.
type DepartureReply struct{}

// SpendRequest asks for quota from the common part, which is not divided among
// entries.
type SpendRequest struct {
	Workspace string  `msgpack:"w"`
	Cost      float64 `msgpack:"c"`
	// Offered is what the entry withdrew from its share for this request. It is lost if
	// the request is not answered.
	Offered float64 `msgpack:"o,omitempty"`
}

// SpendReply grants the cost, or reports after how many milliseconds it can be
// granted.
type SpendReply struct {
	Granted bool  `msgpack:"g"`
	WaitMS  int64 `msgpack:"w,omitempty"`
	// Taken is how much of the offer the leader took, also for a request that it denies:
	// later requests then use it. The rest returns to the share of the entry.
	Taken float64 `msgpack:"t,omitempty"`
}

// CrashRequest carries the records of a crash, so that other entries learn of it
// before the next polls.
type CrashRequest struct {
	Entry   string `msgpack:"e"`
	Crashes []byte `msgpack:"x"`
}

// PartProbeRequest asks whether a request may run as a probe, although a part of its
// prompt is quarantined. Part is the fingerprint of the part.
type PartProbeRequest struct {
	Part []byte `msgpack:"p"`
}

// PartProbeReply answers a PartProbeRequest.
type PartProbeReply struct {
	Granted bool `msgpack:"g"`
}

// ShareRequest forwards announcements of endpoints.
type ShareRequest struct {
	Announcements []registry.ReceivedAnnouncement `msgpack:"s"`
}

// ShareReply answers a ShareRequest.
type ShareReply struct {
	// ClockNS is the time of day by the replica's own clock, in Unix nanoseconds.
	ClockNS int64 `msgpack:"t"`
}

// Encode encodes a message. It does not fail for the types of this package.
func Encode(message any) ([]byte, error) {
	data, err := msgpack.Marshal(message)
	return data, eris.Wrap(err, "encode message between daemons")
}

// Decode decodes a message.
func Decode(data []byte, message any) error {
	return eris.Wrap(msgpack.Unmarshal(data, message), "decode message between daemons")
}

// PromptsNotice reports long prompts that an entry has just sent to endpoints.
type PromptsNotice struct {
	Entry   string           `msgpack:"n"`
	Prompts []prompts.Prompt `msgpack:"p"`
}

// PromptsRequest asks for the long prompts of other entries.
type PromptsRequest struct {
	Entry string `msgpack:"n"`
	// ReplicaRun and Position are those of the last reply.
	ReplicaRun uint64 `msgpack:"r"`
	Position   uint64 `msgpack:"s"`
	// WaitMS is how long the replica may wait for prompts, in milliseconds.
	WaitMS int64 `msgpack:"w"`
}

// PromptsReply answers a PromptsRequest.
type PromptsReply struct {
	ReplicaRun uint64           `msgpack:"r"`
	Position   uint64           `msgpack:"s"`
	Prompts    []prompts.Prompt `msgpack:"p,omitempty"`
}
