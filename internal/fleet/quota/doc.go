// Package quota decides how much of a fleet-wide budget a node may spend now, given what its
// peers report and how old that is. It is pure: it does no I/O, reads no clock and starts no
// goroutine. Reports and times go in, quotas come out. It returns no errors: an implausible
// report is ignored.
//
// Three budgets are shared. Connections to an endpoint that is warming up, and session set-ups
// into a recovering zone, are allocated in whole tokens for half an epoch at a time; all lease
// holders compute the same ranks by rendezvous hashing (Thaler and Ravishankar, 1998), so no
// message is needed to keep within the budget. What is reported as not spent in the first half is
// allocated again in the second, as rights are transferred in a bounded counter (Balegas et al.,
// 2015). An endpoint is an outlier when several members report it. A retry budget follows first
// attempts (as in Finagle, and in gRPC's proposal A6), and part of what others have left may be
// borrowed. docs/notes/fleet-limits.md derives the bounds.
package quota
