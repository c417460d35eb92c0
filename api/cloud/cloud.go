// Package cloud defines the wire types of the cloud API that boragelead uses
// to start and stop VMs: JSON over HTTP. Points in time are given as durations
// from the answer on, because the clocks of cloud and caller need not agree.
package cloud

// HTTP paths of the cloud API.
const (
	// PathPrices returns PriceList on GET.
	PathPrices = "/cloud/v1/prices"
	// PathVMs returns VMList on GET. POST StartRequest starts a VM and returns
	// VM. DELETE PathVMs/ID stops a VM; it is idempotent.
	PathVMs = "/cloud/v1/vms"
	// PathNotices is a long poll: GET with the query parameters after (a
	// sequence number) and wait_ms returns NoticeList as soon as there is a
	// notice after that number, or when wait_ms has passed.
	PathNotices = "/cloud/v1/notices"
)

// Price is the price per hour of a VM of a class in a failure domain.
type Price struct {
	FailureDomain string  `json:"failure_domain"`
	Class         string  `json:"class"`
	OnDemand      float64 `json:"on_demand"`
	Reclaimable   float64 `json:"reclaimable"`
}

// PriceList holds the current prices.
type PriceList struct {
	Prices []Price `json:"prices"`
}

// StartRequest starts a VM.
type StartRequest struct {
	// ClientToken makes a start idempotent: a repeated request with the same
	// token returns the same VM.
	ClientToken   string `json:"client_token"`
	FailureDomain string `json:"failure_domain"`
	Class         string `json:"class"`
	Reclaimable   bool   `json:"reclaimable"`
}

// VMState is the life-cycle state of a VM.
type VMState string

// States of a VM. A stopped VM stays in VMList for a limited time.
const (
	VMStarting   VMState = "starting"
	VMRunning    VMState = "running"
	VMReclaiming VMState = "reclaiming"
	VMStopped    VMState = "stopped"
)

// VM is a virtual machine.
type VM struct {
	ID            string  `json:"id"`
	ClientToken   string  `json:"client_token"`
	FailureDomain string  `json:"failure_domain"`
	Class         string  `json:"class"`
	Reclaimable   bool    `json:"reclaimable"`
	State         VMState `json:"state"`
}

// VMList lists the VMs.
type VMList struct {
	VMs []VM `json:"vms"`
}

// Notice announces that a VM will be reclaimed.
type Notice struct {
	// Seq increases with each notice within an epoch.
	Seq uint64 `json:"seq"`
	VM  string `json:"vm"`
	// DeadlineMS is the time from the writing of the answer until the VM stops,
	// in milliseconds.
	DeadlineMS int64 `json:"deadline_ms"`
}

// NoticeList lists the notices after a sequence number whose VMs have not stopped yet.
type NoticeList struct {
	// Epoch changes when the cloud API has lost its sequence numbers. The caller
	// must then ask again from 0.
	Epoch string `json:"epoch"`
	// Last is the sequence number to pass in the next poll.
	Last    uint64   `json:"last"`
	Notices []Notice `json:"notices"`
}

// ErrorCode classifies a refusal by the cloud API.
type ErrorCode string

// Error codes.
const (
	// CodeNoCapacity means that the failure domain has no free capacity of the class.
	CodeNoCapacity ErrorCode = "no_capacity"
	// CodeLimit means that the limit on the number of VMs is reached.
	CodeLimit ErrorCode = "limit_reached"
	// CodeTokenReused means that the client token was used before with different parameters.
	CodeTokenReused ErrorCode = "client_token_reused"
	CodeBadRequest  ErrorCode = "bad_request"
	CodeNotFound    ErrorCode = "not_found"
)

// ErrorBody is the JSON body of a refusal by the cloud API.
type ErrorBody struct {
	Code    ErrorCode `json:"code"`
	Message string    `json:"message"`
}
