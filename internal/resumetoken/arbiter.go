package resumetoken

import "time"

// RedemptionID identifies one redemption of a token. The redeeming node generates it at random.
// It serves as an idempotency key: a repeated request gets the same verdict as the first one,
// while a request with another id for a granted token gets Spent.
type RedemptionID [16]byte

// Window is the number of a time window, counted from the Unix epoch. A guard groups the
// records of spent tokens by the window in which the tokens expire, and removes them by window.
type Window int64

// WindowLength is the length of a window.
const WindowLength = 10 * time.Second

// WindowOf returns the window in which t lies.
func WindowOf(t time.Time) Window { return Window(t.UnixMilli() / WindowLength.Milliseconds()) }

// End returns the end of the window, at which the next one begins.
func (w Window) End() time.Time { return time.UnixMilli((int64(w) + 1) * WindowLength.Milliseconds()) }

// Arbiter makes the decisions of a guard. The guard keeps the records and updates the fields of
// the arbiter. It must make a new grant durable before it sends the verdict.
type Arbiter struct {
	ID           GuardID
	MaxRecords   int           // maximum number of records
	ClockSkew    time.Duration // by which the clock of an issuer may be ahead
	RecordCount  int           // current number of records
	SweptThrough Window        // the records up to and including this window have been removed, durably
}

// LookupFunc returns the redemption that a token was granted to, and false if the token is
// unspent. The token is identified by the window in which it expires and by its nonce.
type LookupFunc func(window Window, nonce Nonce) (RedemptionID, bool)

// Decide returns the verdict on one redemption of a token. If isNew is true, the guard must
// record the grant and count it in RecordCount. If the token was already granted to the same
// redemption, the verdict is Granted again and isNew is false.
func (a *Arbiter) Decide(
	now time.Time, token *Token, id RedemptionID, lookup LookupFunc,
) (verdict Verdict, isNew bool) {
	window := WindowOf(token.ExpiresAt)
	switch {
	case token.GuardID != a.ID:
		return WrongGuard, false
	case window <= a.SweptThrough:
		// The record may have been removed. Without this check a spent token would be
		// granted again after the clock is set back.
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

// SweepableThrough returns the latest window whose tokens have all expired, and false if that
// window has already been swept.
func (a *Arbiter) SweepableThrough(now time.Time) (Window, bool) {
	window := WindowOf(now) - 1
	return window, window > a.SweptThrough
}
