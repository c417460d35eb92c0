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
	// DataFolder holds the files of a state replica; empty if the daemon is none.
	DataFolder string `json:"data_folder,omitempty"`
	// Replica makes the daemon a state replica.
	Replica *Replica `json:"replica,omitempty"`
	// Controller makes the daemon eligible for the controller lease. It has no
	// effect yet, see docs/fleet.md.
	Controller bool `json:"controller,omitempty"`
	// Peers lists daemons that this one contacts to join the others; the membership
	// protocol discovers the rest.
	Peers []Peer `json:"peers,omitempty"`
	// StateReplicas lists the state replicas that this daemon asks first.
	StateReplicas []Peer `json:"state_replicas,omitempty"`
	Limits        Limits `json:"limits"`
	Log           Log    `json:"log"`
	Trace         Trace  `json:"trace"`
	TLS           *TLS   `json:"tls,omitempty"`
	// PeerKeyFile names a file with the keys that authenticate membership datagrams
	// between daemons, one per line in hexadecimal. Empty means no authentication.
	PeerKeyFile string `json:"peer_key_file,omitempty"`
	// AdminKeySHA256 is the SHA-256 of the operators' key in hexadecimal.
	AdminKeySHA256 string `json:"admin_key_sha256"`
	// DrainWaitMS is how long the daemon accepts requests after it has reported that
	// it is not ready, in milliseconds.
	DrainWaitMS int `json:"drain_wait_ms"`
	// DrainTimeoutMS is the longest time of a graceful shutdown, in milliseconds.
	DrainTimeoutMS int `json:"drain_timeout_ms"`
}

// Listen holds the addresses of a daemon as IP:port.
type Listen struct {
	// Callers is the address on which callers are served.
	Callers string `json:"callers"`
	// Endpoints is the address on which announcements of endpoints are served.
	Endpoints string `json:"endpoints"`
	// Peers is the address on which other daemons are served, over TCP and UDP on
	// the same port.
	Peers string `json:"peers"`
	// Admin is the address on which operators are served.
	Admin string `json:"admin"`
}

// Replica makes a daemon a state replica. The replica draws a random identity at
// its first start and stores it in the data folder. A replica that has lost its
// folder therefore never votes again under its old identity.
type Replica struct {
	// Bootstrap lists the daemons that are the first voters of a new cluster,
	// including this one.
	Bootstrap []Peer `json:"bootstrap,omitempty"`
}

// Peer is the name of a daemon and the address on which it serves other daemons.
type Peer struct {
	Name    string `json:"name"`
	Address string `json:"address"`
}

// Limits bounds the load and memory of one daemon.
type Limits struct {
	// MaxStreams is the most requests in flight.
	MaxStreams int `json:"max_streams"`
	// MaxMemoryBytes is the memory limit of the Go runtime, which bounds the heap, in bytes.
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
	// File is the file to which spans are written as JSON lines; empty means none.
	File string `json:"file,omitempty"`
	// OTLPURL is the collector to which spans are sent over OTLP/HTTP; empty means none.
	OTLPURL string `json:"otlp_url,omitempty"`
	// SampleRatio is the share of requests that are traced, in [0, 1].
	SampleRatio float64 `json:"sample_ratio"`
}

// TLS holds the certificate files of a daemon and selects the interfaces that
// use TLS. Daemons authenticate each other with certificates of the same
// authority. The files are reloaded when they change.
type TLS struct {
	CertFile string `json:"cert_file"`
	KeyFile  string `json:"key_file"`
	// CAFile holds the authority that verifies the certificates of other daemons.
	CAFile string `json:"ca_file"`
	// Callers enables TLS for callers.
	Callers bool `json:"callers,omitempty"`
	// Admin enables TLS for operators.
	Admin bool `json:"admin,omitempty"`
	// Peers enables mutual TLS between daemons.
	Peers bool `json:"peers,omitempty"`
	// AdminClientCAFile holds an authority. If it is set, operators must present a
	// certificate of this authority in addition to the key.
	AdminClientCAFile string `json:"admin_client_ca_file,omitempty"`
}
