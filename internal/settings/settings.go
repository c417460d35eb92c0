package settings

// Settings are the static settings of a daemon.
type Settings struct {
	// Name is unique among the daemons.
	Name string `json:"name"`
	// FailureDomain is the failure domain of the VM.
	FailureDomain string `json:"failure_domain"`
	// Region is the region of the failure domain.
	Region string `json:"region,omitempty"`
	Listen Listen `json:"listen"`
	// DataFolder holds the files of a state replica; empty on daemons without the role.
	DataFolder string `json:"data_folder,omitempty"`
	// Replica makes the daemon a state replica.
	Replica *Replica `json:"replica,omitempty"`
	// Controller makes the daemon eligible for the controller lease. It has no
	// effect yet, see docs/fleet.md.
	Controller bool `json:"controller,omitempty"`
	// Peers lists daemons to join by; the membership protocol finds the others.
	Peers []Peer `json:"peers,omitempty"`
	// StateReplicas lists the state replicas that this daemon asks first.
	StateReplicas []Peer `json:"state_replicas,omitempty"`
	Limits        Limits `json:"limits"`
	Log           Log    `json:"log"`
	Trace         Trace  `json:"trace"`
	TLS           *TLS   `json:"tls,omitempty"`
	// PeerKeyFile holds the keys that authenticate membership datagrams between
	// daemons, one a line in hexadecimal; empty means none.
	PeerKeyFile string `json:"peer_key_file,omitempty"`
	// AdminKeySHA256 is the SHA-256 of the operators' key in hexadecimal.
	AdminKeySHA256 string `json:"admin_key_sha256"`
	// DrainWaitMS is how long the daemon serves on after readiness went off, in milliseconds.
	DrainWaitMS int `json:"drain_wait_ms"`
	// DrainTimeoutMS bounds a graceful shutdown, in milliseconds.
	DrainTimeoutMS int `json:"drain_timeout_ms"`
}

// Listen holds the addresses of a daemon as IP:port.
type Listen struct {
	// Callers serves callers.
	Callers string `json:"callers"`
	// Endpoints serves announcements of endpoints.
	Endpoints string `json:"endpoints"`
	// Peers serves other daemons, over TCP and UDP on the same port.
	Peers string `json:"peers"`
	// Admin serves operators.
	Admin string `json:"admin"`
}

// Replica makes a daemon a state replica. Its identity is drawn at the first
// start and kept in the data folder, so that a lost folder never votes again
// under the identity it had.
type Replica struct {
	// Bootstrap lists the daemons of the first voters of a new cluster, this one included.
	Bootstrap []Peer `json:"bootstrap,omitempty"`
}

// Peer names a daemon and its address for daemons.
type Peer struct {
	Name    string `json:"name"`
	Address string `json:"address"`
}

// Limits bounds what one daemon takes on.
type Limits struct {
	// MaxStreams bounds the requests in flight.
	MaxStreams int `json:"max_streams"`
	// MaxMemoryBytes bounds the heap.
	MaxMemoryBytes int64 `json:"max_memory_bytes"`
}

// Log configures the log.
type Log struct {
	// Level is one of debug, info, warn, error.
	Level string `json:"level"`
	// Format is console or json.
	Format string `json:"format"`
}

// Trace configures trace output.
type Trace struct {
	// File receives spans as JSON lines; empty means none.
	File string `json:"file,omitempty"`
	// OTLPURL receives spans over OTLP/HTTP; empty means none.
	OTLPURL string `json:"otlp_url,omitempty"`
	// SampleRatio is the share of requests traced, in [0, 1].
	SampleRatio float64 `json:"sample_ratio"`
}

// TLS holds the certificate files of a daemon and where TLS is used. Daemons
// authenticate each other with certificates of the same authority. The files
// are read again when they change.
type TLS struct {
	CertFile string `json:"cert_file"`
	KeyFile  string `json:"key_file"`
	// CAFile verifies the certificates of other daemons.
	CAFile string `json:"ca_file"`
	// Callers enables TLS towards callers.
	Callers bool `json:"callers,omitempty"`
	// Admin enables TLS towards operators.
	Admin bool `json:"admin,omitempty"`
	// Peers enables mutual TLS between daemons.
	Peers bool `json:"peers,omitempty"`
	// AdminClientCAFile, when set, makes operators present a certificate of
	// this authority in addition to the key.
	AdminClientCAFile string `json:"admin_client_ca_file,omitempty"`
}
