// Package proxy serves one client session: the request that a client sends in its first
// line, its one final answer, and, once an upstream has answered UP, the relay of lines in
// both directions until either side ends.
//
// A Session is where the downstream and the upstream connection meet. The dispatcher and
// the attempts to connect to an upstream call Reject, Fail and Establish; the first call
// settles the session and is its one final answer, all later ones return false.
//
// Goroutines: Session.Run owns the relay from the upstream to the client, on the goroutine that
// calls it. It starts one goroutine that reads the client and relays to
// the upstream; with a Resumption, a second one that starts the upstream's stream; and,
// where the client's reader has stopped early, one that discards what the client still
// sends. Run returns after all of these have ended and both connections are closed.
//
// Errors: the package exports none. How a session ended is reported to its Observer as a
// balance.Outcome.
package proxy
