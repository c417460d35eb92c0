// Package cloud defines the wire types of the cloud API that boragelead uses
// to start and stop VMs: JSON over HTTP. Times are durations, because the
// clocks of cloud and caller are not compared.
package cloud

// HTTP paths of the cloud API.
const (
	// PathPrices is GET, answered by PriceList.
	PathPrices = "/cloud/v1/prices"
	// PathVMs is GET, answered by VMList, and POST StartRequest, answered by VM.
	// DELETE of PathVMs/ID stops a VM and can be repeated.
	PathVMs = "/cloud/v1/vms"
	// PathNotices is GET with the query parameters after (sequence number) and
	// wait_ms, answered by NoticeList as soon as there is a newer notice.
	PathNotices = "/cloud/v1/notices"
)

// Price is what a VM of a class costs in a failure domain, per hour.
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
	// ClientToken makes a repeated start recognisable: it gets the same VM.
	ClientToken   string `json:"client_token"`
	FailureDomain string `json:"failure_domain"`
	Class         string `json:"class"`
	Reclaimable   bool   `json:"reclaimable"`
}

// VMState is the life-cycle state of a VM.
type VMState string

// States of a VM. A stopped VM stays in the list for a while.
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

// VMList holds the VMs.
type VMList struct {
	VMs []VM `json:"vms"`
}

// Notice says that a VM will be reclaimed.
type Notice struct {
	// Seq increases with each notice of one epoch.
	Seq uint64 `json:"seq"`
	VM  string `json:"vm"`
	// DeadlineMS is the time until the VM stops, from when the answer was
	// written, in milliseconds.
	DeadlineMS int64 `json:"deadline_ms"`
}

// NoticeList holds the notices after a sequence number whose VM still runs.
type NoticeList struct {
	// Epoch changes when the cloud API lost its sequence numbers; the caller
	// then asks again from 0.
	Epoch string `json:"epoch"`
	// Last is the number to ask after next.
	Last    uint64   `json:"last"`
	Notices []Notice `json:"notices"`
}

// ErrorCode classifies a refusal of the cloud API.
type ErrorCode string

// Error codes.
const (
	// CodeNoCapacity says that the class is sold out in the failure domain.
	CodeNoCapacity ErrorCode = "no_capacity"
	// CodeLimit says that the limit of VMs is reached.
	CodeLimit ErrorCode = "limit_reached"
	// CodeTokenReused says that the client token came with another request before.
	CodeTokenReused ErrorCode = "client_token_reused"
	CodeBadRequest  ErrorCode = "bad_request"
	CodeNotFound    ErrorCode = "not_found"
)

// ErrorBody is the JSON body of a refusal.
type ErrorBody struct {
	Code    ErrorCode `json:"code"`
	Message string    `json:"message"`
}
