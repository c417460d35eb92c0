package status

// DaemonState is the state of a daemon from the view of the daemon that answers.
type DaemonState string

// States of a daemon.
const (
	// Starting means that the daemon has no configuration yet.
	Starting DaemonState = "starting"
	// Ready means that the daemon accepts requests.
	Ready DaemonState = "ready"
	// Draining means that the daemon finishes its requests and then stops.
	Draining DaemonState = "draining"
	// Silent means that the daemon is a member but does not answer.
	Silent DaemonState = "silent"
)

// Status is the view that one daemon has of the system.
type Status struct {
	// Daemon is the name of the daemon that answers.
	Daemon string `json:"daemon"`
	// Generation is the newest generation that the daemon knows.
	Generation uint64 `json:"generation"`
	// QuorumReachable reports whether the replicated state answers.
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
	// Roles lists the roles of the daemon: entry, replica, controller.
	Roles []string `json:"roles,omitempty"`
	// Generation is the generation of the active document on the daemon; 0 means none.
	Generation uint64 `json:"generation"`
	// ConfigAgeS is the time since the daemon last received confirmation that its
	// generation is the newest, in seconds.
	ConfigAgeS float64 `json:"config_age_s"`
	// LastHeardMS is the time since the answering daemon last received a message
	// from the described daemon, in milliseconds.
	LastHeardMS int64 `json:"last_heard_ms"`
	// Streams is the number of requests in flight.
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
	// LoadAgeMS is the age of Running and Queued, in milliseconds.
	LoadAgeMS int64 `json:"load_age_ms"`
	// Breaker is the state of the circuit breaker: closed, open or half_open.
	Breaker string `json:"breaker,omitempty"`
	// Limit is the answering daemon's share of the endpoint's concurrency limit.
	Limit int `json:"limit,omitempty"`
}

// Queue describes the admission queue of the answering daemon for a group of
// models that share endpoints.
type Queue struct {
	// Models is the name of the first model of the group.
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

// Drain is the answer to a request to drain a daemon.
type Drain struct {
	Daemon string `json:"daemon"`
	// Streams is the number of requests that still run.
	Streams int `json:"streams"`
	// TimeoutMS is the time by which the drain ends, in milliseconds. Requests that
	// still run are handed over to peers before.
	TimeoutMS int `json:"timeout_ms"`
}

// Fleet describes the plan and the history of the controller.
type Fleet struct {
	// Controller is the name of the daemon that holds the controller lease; empty
	// means that none holds it.
	Controller    string `json:"controller"`
	FencingNumber uint64 `json:"fencing_number"`
	// CostPerHour is the price per hour of the current VMs.
	CostPerHour float64 `json:"cost_per_hour"`
	// Plan lists the steps that are due. History lists the steps that were taken,
	// newest first.
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
	// Reason states why the planner takes the step.
	Reason string `json:"reason"`
	// Outcome is empty while the step is due.
	Outcome string `json:"outcome,omitempty"`
	// AgeS is the time since the step was taken, in seconds.
	AgeS float64 `json:"age_s,omitempty"`
}
