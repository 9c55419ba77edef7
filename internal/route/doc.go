// Package route finds the route of a session among all that the replicated log holds, says in
// which zones it may be placed, and counts what this node uses against its quota lease.
//
// A Table is compiled from the updates that the agent sends (package routeupdate) and is immutable.
// A Limiter admits sessions and counts them; it is for one goroutine at a time. The package is
// pure: it does no I/O, reads no clock and starts no goroutine. Compile and Table.Apply return an
// error for an update that does not fit; the caller then asks for a complete one.
package route
