// Package route finds the route of a session among the routes in the replicated log, determines the
// zones in which the session may be placed, and counts this node's usage against its quota lease.
//
// A Table is compiled from the updates that the agent sends (package routeupdate) and is immutable. A
// Limiter admits sessions and counts them; it must not be used by several goroutines at once. The package
// does no I/O, reads no clock and starts no goroutine. Compile and Table.Apply return an error for an
// update that cannot be applied; the caller then requests a complete one.
package route
