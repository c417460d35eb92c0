package settings

import (
	"cmp"
	"encoding/json"
	"os"
	"time"
)

// GatewayRole is the job of a daemon of the gateway.
type GatewayRole string

// Roles of gateway daemons.
const (
	// RoleEntry serves callers and has no disk.
	RoleEntry GatewayRole = "entry"
	// RoleState replicates the state and serves endpoints and operators.
	RoleState GatewayRole = "state"
)

// Gateway are the settings of a daemon that forwards HTTP exchanges. Unknown
// fields are ignored: a newer deployment may state more than this version knows.
type Gateway struct {
	Name          string      `json:"name"`
	Role          GatewayRole `json:"role"`
	FailureDomain string      `json:"failure_domain"`
	// Domains lists all failure domains.
	Domains []string      `json:"domains"`
	IP      string        `json:"ip"`
	Listen  GatewayListen `json:"listen"`
	// PeerPort carries calls between daemons; it is the same on all VMs.
	PeerPort int `json:"peer_port"`
	// Seeds are addresses (IP:port) of state replicas. Only the IP counts.
	Seeds []string `json:"seeds"`
	// Bootstrap is set at the first start of the whole system, with empty disks.
	Bootstrap  bool          `json:"bootstrap"`
	DataFolder string        `json:"data_folder"`
	Limits     GatewayLimits `json:"limits"`
	Bounds     GatewayBounds `json:"bounds"`
	Cloud      GatewayCloud  `json:"cloud"`
	Log        Log           `json:"log"`
	Trace      Trace         `json:"trace"`
}

// GatewayListen holds the addresses of a gateway daemon as IP:port.
type GatewayListen struct {
	Callers string `json:"callers"`
	Ready   string `json:"ready"`
	Control string `json:"control"`
	Metrics string `json:"metrics"`
	// Peers is where calls between daemons are taken, if not at the own IP and
	// the peer port, as behind a forwarder.
	Peers string `json:"peers"`
}

// GatewayLimits is what the VM gives to the process.
type GatewayLimits struct {
	MemoryMB int `json:"memory_mb"`
}

// GatewayBounds are the limits and times that the deployment agreed on.
type GatewayBounds struct {
	// HeartbeatMS is the time between announcements of an endpoint, in milliseconds.
	HeartbeatMS int `json:"heartbeat_ms"`
	// RetryRatio of the requests may be sent again within RetryWindowS seconds,
	// and RetryAllowance more, over all entries.
	RetryRatio     float64 `json:"retry_ratio"`
	RetryWindowS   float64 `json:"retry_window_s"`
	RetryAllowance float64 `json:"retry_allowance"`
	// QuotaSlack is how many tokens beyond its limit a workspace may spend in a
	// window, over all entries.
	QuotaSlack float64 `json:"quota_slack"`
	// QuotaOvershoot is the part of a limit that may be spent beyond it within
	// QuotaWindowS seconds.
	QuotaOvershoot float64 `json:"quota_overshoot"`
	QuotaWindowS   float64 `json:"quota_window_s"`
	// UsageWindowS is the length of a usage window, in seconds.
	UsageWindowS float64 `json:"usage_window_s"`
	// UsageDelayS is how long after its end the report of a window is due, in seconds.
	UsageDelayS float64 `json:"usage_delay_s"`
	// LeaseMS is the lease of the holder of duties, in milliseconds.
	LeaseMS int `json:"lease_ms"`
	// FencingEnforced says that the cloud refuses a call of the duties whose
	// fencing number is lower than one that it has seen.
	FencingEnforced bool `json:"fencing_enforced"`
	// GraceS is the time from the signal to stop until the process is killed, in seconds.
	GraceS float64 `json:"grace_s"`
}

// GatewayCloud says where the calls of duties go.
type GatewayCloud struct {
	Address string `json:"address"`
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
	if err := g.validate(); err != nil {
		return nil, err
	}
	return g, nil
}

// Defaults of bounds that a deployment does not state.
const (
	defaultHeartbeatMS    = 1000
	defaultRetryRatio     = 0.1
	defaultRetryWindowS   = 10
	defaultRetryAllowance = 10
	defaultUsageWindowS   = 5
	defaultUsageDelayS    = 10
	defaultLeaseMS        = 3000
	defaultGraceS         = 8
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
	case len(g.Seeds) == 0:
		return &Error{Field: "seeds", Message: "must name a state replica"}
	case g.Role == RoleEntry && (g.Listen.Callers == "" || g.Listen.Ready == ""):
		return &Error{Field: "listen", Message: "an entry needs callers and ready"}
	case g.Role == RoleState && (g.Listen.Control == "" || g.DataFolder == ""):
		return &Error{Field: "listen", Message: "a state replica needs control and data_folder"}
	}
	return g.Trace.check()
}

const maxPort = 65535

// Seconds turns a number of seconds into a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Millis turns a number of milliseconds into a duration.
func Millis(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }
