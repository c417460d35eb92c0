// Package fleet plans the VMs of the endpoints: which to hold in each failure
// domain and class, reclaimable or on demand, at the least price that carries
// the demand after the loss of any one failure domain's reclaimable VMs. The
// plan is a pure function of what was observed, with a reason for every step.
package fleet
