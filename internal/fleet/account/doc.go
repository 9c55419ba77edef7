// Package account implements the tree of accounts, teams, routes and grants. Grants determine which
// keys may change which limits and routes. The limits are allocated among the members of the fleet.
//
// State is the tree. State.Apply validates a Change and returns the resulting state; a State is never
// modified in place. Allocate computes one member's QuotaLease for half an epoch from the limits and
// the usage that the members report.
//
// The package is pure: it does no I/O, reads no clock and starts no goroutine. Error texts are
// addressed to the author of a change; State.Apply returns an *OpError if a single operation is at
// fault. docs/notes/accounts.md derives the bounds.
package account
