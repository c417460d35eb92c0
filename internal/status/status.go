package status

// DaemonState is the state of a daemon as the answering daemon sees it.
type DaemonState string

// States of a daemon.
const (
	// Starting means the daemon has no configuration yet.
	Starting DaemonState = "starting"
	// Ready means the daemon accepts requests.
	Ready DaemonState = "ready"
	// Draining means the daemon finishes its requests and leaves.
	Draining DaemonState = "draining"
	// Silent means the daemon is a member but does not answer.
	Silent DaemonState = "silent"
)

// Status is the view that one daemon has of the system.
type Status struct {
	// Daemon answered.
	Daemon string `json:"daemon"`
	// Generation is the newest generation that the daemon knows of.
	Generation uint64 `json:"generation"`
	// QuorumReachable tells whether the replicated state answers.
	QuorumReachable bool       `json:"quorum_reachable"`
	Daemons         []Daemon   `json:"daemons"`
	Endpoints       []Endpoint `json:"endpoints"`
	Queues          []Queue    `json:"queues"`
	Replicas        []Replica  `json:"replicas,omitempty"`
}

// Daemon describes one daemon.
type Daemon struct {
	Name          string      `json:"name"`
	FailureDomain string      `json:"failure_domain"`
	Region        string      `json:"region,omitempty"`
	Incarnation   uint64      `json:"incarnation"`
	State         DaemonState `json:"state"`
	// Roles lists entry, replica and controller.
	Roles []string `json:"roles,omitempty"`
	// Generation is the configuration in force on the daemon; 0 means none.
	Generation uint64 `json:"generation"`
	// ConfigAgeS is how long ago the daemon last heard that its generation is the newest, in seconds.
	ConfigAgeS float64 `json:"config_age_s"`
	// LastHeardMS is how long ago the answering daemon heard from it, in milliseconds.
	LastHeardMS int64 `json:"last_heard_ms"`
	// Streams counts the requests in flight.
	Streams int `json:"streams"`
}

// Endpoint describes one endpoint.
type Endpoint struct {
	ID            string   `json:"id"`
	FailureDomain string   `json:"failure_domain"`
	Class         string   `json:"class,omitempty"`
	State         string   `json:"state"`
	Role          string   `json:"role,omitempty"`
	Models        []string `json:"models,omitempty"`
	Reclaimable   bool     `json:"reclaimable"`
	Slots         int      `json:"slots"`
	Running       int      `json:"running"`
	Queued        int      `json:"queued"`
	// LoadAgeMS is the age of the load figures, in milliseconds.
	LoadAgeMS int64 `json:"load_age_ms"`
	// Breaker is the state of the circuit breaker: closed, open or half_open.
	Breaker string `json:"breaker,omitempty"`
	// Limit is this daemon's share of the concurrency limit.
	Limit int `json:"limit,omitempty"`
}

// Queue describes the admission of the answering daemon for the models that share endpoints.
type Queue struct {
	// Models names the first of the models.
	Models  string `json:"models"`
	Waiting int    `json:"waiting"`
	Running int    `json:"running"`
}

// Replica describes a voter or learner of the replicated state.
type Replica struct {
	ID string `json:"id"`
	// Role is leader, follower, candidate or learner.
	Role   string `json:"role"`
	Term   uint64 `json:"term"`
	Commit uint64 `json:"commit"`
}

// Drain answers a request to drain the daemon.
type Drain struct {
	Daemon string `json:"daemon"`
	// Streams counts the requests that have to end.
	Streams int `json:"streams"`
	// TimeoutMS is when the daemon hands over what has not ended, in milliseconds.
	TimeoutMS int `json:"timeout_ms"`
}

// Fleet describes what the controller plans and does.
type Fleet struct {
	// Controller holds the lease; empty means nobody.
	Controller    string `json:"controller"`
	FencingNumber uint64 `json:"fencing_number"`
	// CostPerHour is the price of the present VMs.
	CostPerHour float64 `json:"cost_per_hour"`
	// Plan lists the steps that are due, History those that were taken, newest first.
	Plan    []FleetStep `json:"plan"`
	History []FleetStep `json:"history"`
}

// FleetStep is one step of the planner.
type FleetStep struct {
	Action        string `json:"action"`
	FailureDomain string `json:"failure_domain,omitempty"`
	Class         string `json:"class,omitempty"`
	Endpoint      string `json:"endpoint,omitempty"`
	Model         string `json:"model,omitempty"`
	// Reason says why the planner takes the step.
	Reason string `json:"reason"`
	// Outcome is empty while the step is due.
	Outcome string `json:"outcome,omitempty"`
	// AgeS is how long ago the step was taken, in seconds.
	AgeS float64 `json:"age_s,omitempty"`
}
