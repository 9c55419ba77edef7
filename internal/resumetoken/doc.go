// Package resumetoken makes all decisions about resume tokens: what a token says, whether it
// is authentic, which node arbitrates it, and whether it is granted. It is pure: it does no
// I/O, reads no clock, draws no random numbers and starts no goroutine; times and nonces are
// arguments.
//
// A token names the one replay guard that arbitrates it. That guard alone, by its own clock,
// says whether the token is spent, so that nodes need no consensus.
//
// The errors of Open, Token.VerifyClient and Token.VerifyTime are this package's sentinels.
// Each is a reason to start the client's stream with a snapshot, not an error to the client.
package resumetoken
