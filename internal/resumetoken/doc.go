// Package resumetoken implements the format of resume tokens and all decisions about them:
// whether a token is authentic, which node arbitrates it, and whether it is granted. It is
// pure: it does no I/O, reads no clock, generates no random numbers and starts no goroutine.
// Times and nonces are passed as arguments.
//
// A token names the one replay guard that arbitrates it. Only that guard decides, by its own
// clock, whether the token is spent, so the nodes need no consensus.
//
// Open, Token.VerifyClient and Token.VerifyTime return the sentinel errors of this package.
// After each of them the client's stream starts with a snapshot; the client gets no error.
package resumetoken
