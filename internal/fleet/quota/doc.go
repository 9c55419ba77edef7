// Package quota computes how much of a fleet-wide budget a node may spend in the current period from
// the reports of the members and the age of these reports. The package is pure: it does no I/O, reads
// no clock and starts no goroutine; callers pass in reports and times. It returns no errors and
// ignores implausible reports.
//
// Three decisions are made for the whole fleet. Connections to an endpoint that is warming up, and
// session set-ups into a recovering zone, are allocated in whole tokens for half an epoch at a time.
// All lease holders compute the same ranks by rendezvous hashing (Thaler and Ravishankar, 1998), so
// they stay within the budget without exchanging messages. Tokens that are reported as unspent in
// the first half of an epoch are reallocated in the second, like the transfer of rights in a bounded
// counter (Balegas et al., 2015). An endpoint is an outlier if several members report it. The retry
// budget is proportional to first attempts (as in Finagle, and in gRPC's proposal A6), and a member
// may borrow part of the budget that others have not used. docs/notes/fleet-limits.md derives the
// bounds.
package quota
