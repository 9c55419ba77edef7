// Package lifecycle is the one place that says what may happen to a session now: whether an attempt
// may begin, an answer be given, a connection be migrated, handed over or closed. It holds the life
// of a session as a state machine: Machine has its State, Apply takes an Event, and the May functions
// answer one question each, with the Refusal that says why not.
//
// Sessions, the event loop, the pool, the drain and the hot restart ask it; what happens is theirs.
// Events that can't happen in a state are violations of an invariant, which the caller reports.
//
// The package does no I/O, reads no clock and starts no goroutine. A Machine is not safe for
// concurrent use: its owner has a lock.
package lifecycle
