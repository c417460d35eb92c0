package fleet

// Pool is a set of VMs of the same failure domain and class that are either all
// reclaimable or all on demand.
type Pool struct {
	FailureDomain string `json:"failure_domain"`
	Class         string `json:"class"`
	Reclaimable   bool   `json:"reclaimable"`
}

// Offer describes the VMs that a pool can provide for one model.
type Offer struct {
	Pool
	// Price is the price per VM and hour.
	Price float64
	// Capacity is the capacity of one VM in generated tokens per second.
	Capacity float64
	// Have is the current number of VMs.
	Have int
	// Max is the maximum number of VMs, including the current ones.
	Max int
}

// Need is the capacity that the VMs of one model must provide.
type Need struct {
	// Capacity is the capacity in tokens per second that must remain after the
	// loss of all reclaimable VMs of any one failure domain.
	Capacity float64
	// OnDemand is the part of Capacity that on-demand VMs must provide.
	OnDemand float64
	// MinVMs is the minimum number of VMs.
	MinVMs int
}

// Allocation is the number of VMs of each offer, in the order of the offers.
type Allocation struct {
	Counts []int
	// Price is the price of all VMs per hour.
	Price float64
	// Short is the capacity that is missing because pools are exhausted, in tokens
	// per second.
	Short float64
}

// minSaving is the share of the price that another allocation must save before
// current VMs are replaced. It prevents replacements because of small price
// changes.
const minSaving = 0.1
