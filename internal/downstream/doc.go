// Package downstream serves the connections of clients: it listens, answers PING, reads
// first lines and gives each connection that opens a request to a proxy.Session.
//
// A connection is pending until its first line was read. It is idle while it waits for that
// line; a pending client that gets its last answer without a session lingers: what it still
// sends is read and discarded, so that the close does not reset the connection before the
// answer was read. Limits bounds the sockets of all of them; where they run short, the
// client that has been idle for longest is rejected in favour of the newest.
//
// Drain empties the server for good, LameDuck until Rejoin. Both migrate the established
// sessions by a DrainPlan, or hand them over to another process.
//
// Goroutines: Serve runs on the one that calls it. Each client has one, which ends when its
// connection is closed; LameDuck has one, which ends with Rejoin, StartDraining or its plan.
// Close waits for all of them.
//
// Errors: Serve returns nil once its listener is closed. Failed accepts and first lines that
// can't be parsed are logged, no more than the package logging allows.
package downstream
