// Package account holds the tree of accounts, teams, routes and grants: who may change which
// limits and routes, and how the limits are allocated over the members of the fleet.
//
// State is the tree. State.Apply validates a Change and returns the state after it; nothing is
// changed in place. Allocate turns limits, and what members report to have used, into one
// member's QuotaLease for half an epoch.
//
// The package is pure: it does no I/O, reads no clock and starts no goroutine. Errors are texts
// for the author of a change; an error of State.Apply is an *OpError where one operation is at
// fault. docs/notes/accounts.md derives the bounds.
package account
