// Package replayguard prevents resume tokens from being used twice. Its anti-replay mechanism is
// single use, as in TLS 1.3 for 0-RTT tickets (RFC 8446, section 8.1).
//
// A Guard records which tokens are spent. Each token names the one guard that arbitrates it. A
// Service mints and redeems tokens for its node. It requests verdicts from the guard of its
// node or, through a Peer, from the guard of another node, which answers through a Server.
// Package resumetoken decides which tokens are granted. A guard makes the record of a grant
// durable before it sends the verdict.
//
// Goroutines: Guard.Run, Server.Serve, Service.Run and Peer.Run work in the goroutine of the
// caller and in goroutines that they start. After their context has ended, they return once
// these goroutines have ended. A Peer starts two goroutines per connection; a Server starts one
// per connection and another one for its writes. The package starts no other goroutines.
//
// Errors: Open wraps the errors of package store, of which store.ErrLocked means that another
// process uses the directory. Later failures are logged and result in the verdicts
// GuardUnavailable, GuardFull and ArbiterUnreachable.
//
// In messages, in the file and in the file's name a guard is called ledger. These names can't
// change, for compatibility.
package replayguard

// component is the name of this package in log lines.
const component = "replayguard"
