// Package downstream serves client connections: it accepts them, answers PING, reads first lines
// and passes each connection that opens a request to a proxy.Session.
//
// A connection is pending until its first line has been read, and idle while it waits for that
// line. A pending client that gets its last answer without a session lingers: its further input is
// read and discarded, so that closing the connection does not reset it before the client has read
// the answer. Limits bounds the number of sockets of all clients; when they run out, the client
// that has been idle for longest is rejected in favour of the newest one.
//
// Drain empties the server permanently, LameDuck until Rejoin. Both migrate the established
// sessions according to a DrainPlan, or hand them over to another process.
//
// Goroutines: Serve runs on its caller's goroutine. Each client has one goroutine, which ends when
// the client's connection is closed. LameDuck starts one goroutine, which ends with Rejoin,
// StartDraining or the end of its plan. Close waits for all of them.
//
// Errors: Serve returns nil once its listener is closed. Failed accepts and first lines that cannot
// be parsed are logged, at the rate that package logging allows.
package downstream
