// Package controller runs the fleet planner on the daemon that holds the
// controller lease: it observes the fleet, plans steps and executes them.
//
// Invariants:
//   - An order is given only if its full timeout ends before the lease can end.
//   - Every VM is started with a client token made of model, pool and ordinal, so
//     that the next holder knows the purpose of the VM from the token alone.
//   - A receiver that ignores fencing numbers (the cloud API, some endpoints) gets
//     no order before every order of the former holder must have ended.
package controller
