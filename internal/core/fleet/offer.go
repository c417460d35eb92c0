package fleet

// Pool is a set of equal VMs.
type Pool struct {
	FailureDomain string `json:"failure_domain"`
	Class         string `json:"class"`
	Reclaimable   bool   `json:"reclaimable"`
}

// Offer is what a pool can provide for one model.
type Offer struct {
	Pool
	// Price is per VM and hour.
	Price float64
	// Capacity of one VM in generated tokens per second.
	Capacity float64
	// Have is the number of VMs held now.
	Have int
	// Max bounds the number of VMs, those held included.
	Max int
}

// Need is what the VMs of one model must carry.
type Need struct {
	// Capacity in tokens per second that must remain after the loss of any one
	// failure domain's reclaimable VMs.
	Capacity float64
	// OnDemand is the part of Capacity that VMs which cannot be reclaimed must carry.
	OnDemand float64
	// MinVMs bounds the number of VMs from below.
	MinVMs int
}

// Allocation is the number of VMs of each offer, in the order of the offers.
type Allocation struct {
	Counts []int
	// Price of all VMs per hour.
	Price float64
	// Short is the capacity that is missing because pools are exhausted.
	Short float64
}

// minSaving is the share of the price that another allocation must save before
// VMs held now are replaced, so that prices that flicker move nothing.
const minSaving = 0.1
