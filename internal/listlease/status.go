package listlease

import "time"

// Status is what is known of the endpoint list at a moment.
type Status struct {
	Generation  int64     // of the list
	ConfirmedAt time.Time // when the list was last known to be the service's; zero if it never was
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
