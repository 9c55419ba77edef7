// Package replayguard keeps resume tokens from being used twice: anti-replay by single use,
// as TLS 1.3 has it for 0-RTT tickets (RFC 8446, section 8.1).
//
// A Guard records which tokens are spent. Each token names the one guard that arbitrates it. A
// Service mints and redeems tokens for its node; it asks its own guard, or through a Peer the
// guard of another node, which answers there through a Server. What is granted is decided by
// package resumetoken; a guard makes the record durable before anybody hears of the grant.
//
// Goroutines: Guard.Run, Server.Serve, Service.Run and Peer.Run work in their callers'
// goroutines and those that they start, all of which end before they return, after their
// context ends. A Peer has two more for each connection, a Server one for each connection and
// one for its writes. Nothing else is started.
//
// Errors: Open wraps those of package store, of which store.ErrLocked means that another
// process uses the directory. Later failures are logged, and show as the verdicts
// GuardUnavailable, GuardFull and ArbiterUnreachable.
//
// On the wire, in the file and in its name a guard is called ledger; these stay as they are.
package replayguard

// component is this package in log lines.
const component = "replayguard"
