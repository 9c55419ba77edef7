package resumetoken

import "time"

// RedemptionID names one redemption of a token. The node that redeems draws it at random: as
// with an idempotency key, a request that is repeated gets the same verdict, and a request of
// anybody else does not.
type RedemptionID [16]byte

// Window is a stretch of time in which tokens expire, numbered from the Unix epoch. A guard
// forgets window by window.
type Window int64

// WindowLength is a window's length.
const WindowLength = 10 * time.Second

// WindowOf returns the window in which t lies.
func WindowOf(t time.Time) Window { return Window(t.UnixMilli() / WindowLength.Milliseconds()) }

// End returns the time at which the next window begins.
func (w Window) End() time.Time { return time.UnixMilli((int64(w) + 1) * WindowLength.Milliseconds()) }

// Arbiter decides for a guard. The guard keeps the records and the arbiter's fields up to
// date, and must make a new grant durable before anybody hears of it.
type Arbiter struct {
	ID           GuardID
	MaxRecords   int           // most records that may be kept
	ClockSkew    time.Duration // by which an issuer's clock may be ahead
	RecordCount  int           // records that are kept
	SweptThrough Window        // this window and those before are forgotten, durably
}

// LookupFunc returns the redemption that a token was granted to; it is false if the token is
// unspent. A token is named by the window in which it expires and its nonce.
type LookupFunc func(window Window, nonce Nonce) (RedemptionID, bool)

// Decide judges one redemption of a token. If isNew is set the guard has to record the grant
// and count it in RecordCount. A request that the redemption repeats after its grant is
// granted again, and isNew is not set.
func (a *Arbiter) Decide(
	now time.Time, token *Token, id RedemptionID, lookup LookupFunc,
) (verdict Verdict, isNew bool) {
	window := WindowOf(token.ExpiresAt)
	switch {
	case token.GuardID != a.ID:
		return WrongGuard, false
	case window <= a.SweptThrough:
		// The record may be gone: a clock that is set back must not make a spent token
		// valid again.
		return Expired, false
	}
	if grantedTo, ok := lookup(window, token.Nonce); ok {
		if grantedTo == id {
			return Granted, false
		}
		return Spent, false
	}
	if err := token.VerifyTime(now, a.ClockSkew, 0); err != nil {
		return verdictForError(err), false
	}
	if a.RecordCount >= a.MaxRecords {
		return GuardFull, false
	}
	return Granted, true
}

// SweepableThrough returns the last window whose tokens have all expired. It is false if that
// was swept already.
func (a *Arbiter) SweepableThrough(now time.Time) (Window, bool) {
	window := WindowOf(now) - 1
	return window, window > a.SweptThrough
}
