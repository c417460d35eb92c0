// Package fleet plans the VMs of the endpoints: how many reclaimable and
// on-demand VMs to run in each failure domain and machine class. The plan
// minimizes the price while the VMs that remain after the loss of all
// reclaimable VMs of any one failure domain still carry the demand. It is a pure
// function of the observation and gives a reason for every step.
package fleet
