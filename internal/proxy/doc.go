// Package proxy serves one client session: the request in the client's first line, its one final
// answer, and, once an upstream has answered UP, the relay of lines in both directions until either
// side ends.
//
// A Session connects the downstream and the upstream connection. The dispatcher and the attempts to
// connect to an upstream call Reject, Fail and Establish. The first call settles the session with
// its one final answer; all later calls return false.
//
// Goroutines: Session.Run relays from the upstream to the client, on its caller's goroutine. It
// starts one goroutine that reads from the client and relays to the upstream; with a Resumption, a
// second one that starts the upstream's stream; and, if the client's reader has stopped early, one
// that discards the client's further input. Run returns after all of them have ended and both
// connections are closed.
//
// Errors: the package exports none. The end of a session is reported to its Observer as a
// balance.Outcome.
package proxy
