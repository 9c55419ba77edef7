package dispatch

import "time"

// Clock is the module's clock: Unix time at the start plus what a monotonic
// clock has counted since. Counted from the start of the process, a server's
// start before it would be negative, which the module reads as long ago, and
// cold servers would get a warm one's share.
type Clock struct{ start time.Time }

// NewClock returns a Clock that starts now.
func NewClock() Clock { return Clock{time.Now()} }

// At converts a time that time.Now has given, or one reckoned from it.
func (c Clock) At(t time.Time) time.Duration {
	return time.Duration(c.start.UnixNano()) + t.Sub(c.start)
}
