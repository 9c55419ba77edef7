// Package lifecycle defines the states of a session and decides which operations each state permits:
// whether an attempt may begin, an answer be sent, or a connection be migrated, handed over or closed.
// Machine is the state machine of one session: it holds the State, and Apply processes an Event. Each
// May function checks one operation and returns the Refusal that explains why it is not permitted.
// These rules are implemented in this package only.
//
// Sessions, the event loop, the pool, the drain and the hot restart call the checks and carry out the
// operations themselves. An event that is impossible in the current state violates an invariant, which
// the caller reports.
//
// The package does no I/O, reads no clock and starts no goroutine. A Machine is not safe for
// concurrent use: its owner must hold a lock.
package lifecycle
