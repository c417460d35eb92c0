// Package controller runs the fleet planner on the daemon that holds the
// controller lease: it observes, plans and carries the steps out.
//
// Invariants:
//   - An order is given only if its whole timeout ends before the lease can end.
//   - Every VM is started with a client token made of model, pool and ordinal.
//     The token alone tells the next holder what the VM is for.
//   - What takes no fencing number (the cloud API, some endpoints) receives no
//     order before every order of the former holder must have ended.
package controller
