package listlease

import "time"

// Status is a snapshot of the lease of an endpoint list. The zero Status belongs to a list without a lease,
// as tests use it: such a list never expires.
type Status struct {
	Generation  int64     // of the list
	ConfirmedAt time.Time // when discovery last confirmed the list; zero if it never did
	ExpiresAt   time.Time // from this time on the list may not be used; zero for never
}

// NeverConfirmed is the Age of a list that has never been confirmed.
const NeverConfirmed = -time.Millisecond

// Age returns the time since the list was last confirmed, or NeverConfirmed.
func (s Status) Age(now time.Time) time.Duration {
	if s.ConfirmedAt.IsZero() {
		return NeverConfirmed
	}
	return now.Sub(s.ConfirmedAt)
}

// IsValid reports whether an attempt may begin at an endpoint of the list at time now.
func (s Status) IsValid(now time.Time) bool { return s.ExpiresAt.IsZero() || now.Before(s.ExpiresAt) }

// SinceExpiry returns the time since the lease expired: negative before that, and 0 if it never expires.
func (s Status) SinceExpiry(now time.Time) time.Duration {
	if s.ExpiresAt.IsZero() {
		return 0
	}
	return now.Sub(s.ExpiresAt)
}
