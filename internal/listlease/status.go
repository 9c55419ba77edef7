package listlease

import "time"

// Status is what is known of the endpoint list at a moment. The zero Status is of a list that nobody follows, such as
// a test's: it may be relied on without end.
type Status struct {
	Generation  int64     // of the list
	ConfirmedAt time.Time // when the list was last known to be the service's; zero if it never was
	ExpiresAt   time.Time // from when on the list may not be relied on; zero for never
}

// NeverConfirmed is the age of a list that was never confirmed.
const NeverConfirmed = -time.Millisecond

// Age is how long ago the list was last confirmed.
func (s Status) Age(now time.Time) time.Duration {
	if s.ConfirmedAt.IsZero() {
		return NeverConfirmed
	}
	return now.Sub(s.ConfirmedAt)
}

// IsValid reports whether an attempt may begin by the list now.
func (s Status) IsValid(now time.Time) bool { return s.ExpiresAt.IsZero() || now.Before(s.ExpiresAt) }

// SinceExpiry is for how long the list may not be relied on any more; negative while it may, 0 if it always may.
func (s Status) SinceExpiry(now time.Time) time.Duration {
	if s.ExpiresAt.IsZero() {
		return 0
	}
	return now.Sub(s.ExpiresAt)
}
