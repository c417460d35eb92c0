package settings

import (
	"cmp"
	"encoding/json"
	"net"
	"os"
	"strconv"
	"time"
)

// GatewayRole is the role of a gateway daemon.
type GatewayRole string

// Roles of gateway daemons.
const (
	// RoleEntry is the role of a daemon that serves callers and has no disk.
	RoleEntry GatewayRole = "entry"
	// RoleState is the role of a daemon that replicates the state and serves
	// endpoints and operators.
	RoleState GatewayRole = "state"
)

// Gateway holds the settings of a daemon that forwards HTTP exchanges. Unknown
// fields are ignored, because a newer deployment may set fields that this
// version does not know.
type Gateway struct {
	Name          string      `json:"name"`
	Role          GatewayRole `json:"role"`
	FailureDomain string      `json:"failure_domain"`
	// Domains lists all failure domains.
	Domains []string      `json:"domains"`
	IP      string        `json:"ip"`
	Listen  GatewayListen `json:"listen"`
	// PeerPort is the port for calls between daemons; it is the same on all VMs.
	PeerPort int `json:"peer_port"`
	// ForwardPort is the port on which entries take requests of other entries; it is the
	// same on all VMs. By default it follows PeerPort.
	ForwardPort int `json:"forward_port"`
	// Seeds lists addresses (IP:port) of state replicas. Only the IP address is used.
	Seeds []string `json:"seeds"`
	// Bootstrap is set when the system starts for the first time, with empty disks.
	Bootstrap  bool          `json:"bootstrap"`
	DataFolder string        `json:"data_folder"`
	Limits     GatewayLimits `json:"limits"`
	Bounds     GatewayBounds `json:"bounds"`
	Cloud      GatewayCloud  `json:"cloud"`
	Placement  Placement     `json:"placement"`
	Log        Log           `json:"log"`
	Trace      Trace         `json:"trace"`
}

// GatewayListen holds the addresses of a gateway daemon as IP:port.
type GatewayListen struct {
	Callers string `json:"callers"`
	Ready   string `json:"ready"`
	Control string `json:"control"`
	Metrics string `json:"metrics"`
	// Peers is the address on which calls between daemons are accepted. It is set
	// if this is not the daemon's IP address with the peer port, for example behind
	// a port forwarder.
	Peers string `json:"peers"`
	// Forwarded is the address on which an entry takes requests of other entries. It is set
	// if this is not the daemon's IP address with the forward port.
	Forwarded string `json:"forwarded"`
}

// GatewayLimits holds the resources of the VM that the process may use.
type GatewayLimits struct {
	MemoryMB int `json:"memory_mb"`
	// FileDescriptors is the number of descriptors that the process may open; 0 means the
	// limit of the process.
	FileDescriptors int `json:"file_descriptors"`
}

// GatewayBounds holds the limits and times that the deployment sets.
type GatewayBounds struct {
	// HeartbeatMS is the time between announcements of an endpoint, in milliseconds.
	HeartbeatMS int `json:"heartbeat_ms"`
	// Within a window of RetryWindowS seconds, a share RetryRatio of the requests
	// and RetryAllowance further requests may be sent again, over all entries.
	RetryRatio     float64 `json:"retry_ratio"`
	RetryWindowS   float64 `json:"retry_window_s"`
	RetryAllowance float64 `json:"retry_allowance"`
	// QuotaSlack is the number of tokens that a workspace may spend in a window
	// beyond its limit, over all entries.
	QuotaSlack float64 `json:"quota_slack"`
	// QuotaOvershoot is the share of a limit that may be spent beyond the limit
	// within QuotaWindowS seconds.
	QuotaOvershoot float64 `json:"quota_overshoot"`
	QuotaWindowS   float64 `json:"quota_window_s"`
	// UsageWindowS is the length of a usage window, in seconds.
	UsageWindowS float64 `json:"usage_window_s"`
	// UsageDelayS is the time from the end of a usage window until its report is
	// due, in seconds.
	UsageDelayS float64 `json:"usage_delay_s"`
	// LeaseMS is the length of the lease of the daemon that holds the duties, in milliseconds.
	LeaseMS int `json:"lease_ms"`
	// FencingEnforced states that the cloud refuses a duty call whose fencing number
	// is lower than one that it has seen before.
	FencingEnforced bool `json:"fencing_enforced"`
	// GraceS is the time from the stop signal until the process is killed, in seconds.
	GraceS float64 `json:"grace_s"`
	// DrainMS is how long a draining endpoint takes requests after its announcement, in
	// milliseconds.
	DrainMS float64 `json:"drain_ms"`
	// Losses is the number of state replicas that may be lost at once.
	Losses int `json:"losses"`
	// A version that a roll-out introduces may get a share ExposureShare of the requests
	// of its service, and ExposureAllowance further requests, before it is trusted.
	// Roll-outs are offered only if ExposureShare is set.
	ExposureShare     float64 `json:"exposure_share"`
	ExposureAllowance float64 `json:"exposure_allowance"`
	// RollbackMS is the time within which a bad version must no longer get requests, in
	// milliseconds.
	RollbackMS int `json:"rollback_ms"`
}

// Drain returns how long a draining endpoint takes requests after its announcement.
func (b *GatewayBounds) Drain() time.Duration {
	return time.Duration(b.DrainMS * float64(time.Millisecond))
}

// OffersRollouts reports whether operators may order roll-outs.
func (b *GatewayBounds) OffersRollouts() bool { return b.ExposureShare > 0 }

// GatewayCloud holds the address to which duty calls are sent.
type GatewayCloud struct {
	Address string `json:"address"`
}

// Placement switches parts of the choice of endpoints on.
type Placement struct {
	// ShareLongPrompts lets entries tell each other, through the leader, which long prompts
	// they have sent to which endpoints.
	ShareLongPrompts bool `json:"share_long_prompts"`
}

// LoadGateway reads and checks the settings of a gateway daemon. The error is an *Error.
func LoadGateway(path string) (*Gateway, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &Error{Field: "$", Message: err.Error()}
	}
	return ParseGateway(data)
}

// ParseGateway decodes and checks the settings of a gateway daemon. The error is an *Error.
func ParseGateway(data []byte) (*Gateway, error) {
	g := &Gateway{Log: Log{Level: "info", Format: "json"}, Trace: Trace{SampleRatio: 1}}
	if err := json.Unmarshal(data, g); err != nil {
		return nil, &Error{Field: "$", Message: err.Error()}
	}
	g.Bounds.setDefaults()
	g.ForwardPort = cmp.Or(g.ForwardPort, g.PeerPort+1)
	g.Listen.Forwarded = cmp.Or(g.Listen.Forwarded, net.JoinHostPort(g.IP, strconv.Itoa(g.ForwardPort)))
	if err := g.validate(); err != nil {
		return nil, err
	}
	return g, nil
}

// Defaults of the bounds that a deployment does not set.
const (
	defaultHeartbeatMS    = 1000
	defaultRetryRatio     = 0.1
	defaultRetryWindowS   = 10
	defaultRetryAllowance = 10
	defaultUsageWindowS   = 5
	defaultUsageDelayS    = 10
	defaultLeaseMS        = 3000
	defaultGraceS         = 8
	defaultDrainMS        = 2000
	defaultLosses         = 1
	defaultRollbackMS     = 5000
)

func (b *GatewayBounds) setDefaults() {
	b.HeartbeatMS = cmp.Or(b.HeartbeatMS, defaultHeartbeatMS)
	b.RetryRatio = cmp.Or(b.RetryRatio, defaultRetryRatio)
	b.RetryWindowS = cmp.Or(b.RetryWindowS, defaultRetryWindowS)
	b.RetryAllowance = cmp.Or(b.RetryAllowance, defaultRetryAllowance)
	b.UsageWindowS = cmp.Or(b.UsageWindowS, defaultUsageWindowS)
	b.UsageDelayS = cmp.Or(b.UsageDelayS, defaultUsageDelayS)
	b.LeaseMS = cmp.Or(b.LeaseMS, defaultLeaseMS)
	b.GraceS = cmp.Or(b.GraceS, defaultGraceS)
	b.DrainMS = cmp.Or(b.DrainMS, defaultDrainMS)
	b.Losses = cmp.Or(b.Losses, defaultLosses)
	b.RollbackMS = cmp.Or(b.RollbackMS, defaultRollbackMS)
}

// checkRollouts checks the bounds of roll-outs.
func (b *GatewayBounds) checkRollouts() error {
	switch {
	case !(b.ExposureShare >= 0 && b.ExposureShare <= 1):
		return &Error{Field: "bounds.exposure_share", Message: "must be between 0 and 1"}
	case !(b.ExposureAllowance >= 0):
		return &Error{Field: "bounds.exposure_allowance", Message: "must not be negative"}
	case b.RollbackMS < 0:
		return &Error{Field: "bounds.rollback_ms", Message: "must not be negative"}
	}
	return nil
}

func (g *Gateway) validate() error {
	switch {
	case g.Name == "":
		return &Error{Field: "name", Message: "must be set"}
	case g.Role != RoleEntry && g.Role != RoleState:
		return &Error{Field: "role", Message: "must be entry or state"}
	case g.IP == "":
		return &Error{Field: "ip", Message: "must be set"}
	case g.PeerPort <= 0 || g.PeerPort > maxPort:
		return &Error{Field: "peer_port", Message: "must be a port number"}
	case g.ForwardPort <= 0 || g.ForwardPort > maxPort:
		return &Error{Field: "forward_port", Message: "must be a port number"}
	case len(g.Seeds) == 0:
		return &Error{Field: "seeds", Message: "must name a state replica"}
	case g.Role == RoleEntry && (g.Listen.Callers == "" || g.Listen.Ready == ""):
		return &Error{Field: "listen", Message: "an entry needs callers and ready"}
	case g.Limits.FileDescriptors < 0:
		return &Error{Field: "limits.file_descriptors", Message: "must not be negative"}
	case g.Bounds.DrainMS < 0:
		return &Error{Field: "bounds.drain_ms", Message: "must not be negative"}
	case g.Bounds.Losses < 0:
		return &Error{Field: "bounds.losses", Message: "must not be negative"}
	case g.Role == RoleState && (g.Listen.Control == "" || g.DataFolder == ""):
		return &Error{Field: "listen", Message: "a state replica needs control and data_folder"}
	}
	if err := g.Bounds.checkRollouts(); err != nil {
		return err
	}
	return g.Trace.check()
}

const maxPort = 65535

// Seconds converts a number of seconds to a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Millis converts a number of milliseconds to a duration.
func Millis(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }
