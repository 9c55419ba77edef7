package dispatch

import (
	"time"

	"coralrelay/internal/sysfault"
)

// Clock is the module's clock: Unix time at the start plus what a monotonic clock has counted
// since. Were time counted from the start of the process, a server's start before it would be
// negative, which the module reads as long ago, and servers that are warming up would get a
// warm one's load.
type Clock struct {
	start    time.Time
	unixTime time.Duration // of start, by the wall clock
}

// NewClock returns a Clock that starts now.
func NewClock() Clock {
	return Clock{start: time.Now(), unixTime: time.Duration(sysfault.WallNow().UnixNano())}
}

// Now is the time by this clock, as a time of the day: it does not step when the wall clock does.
func (c Clock) Now() time.Time { return time.Unix(0, int64(c.At(time.Now()))) }

// At converts a time that time.Now has returned, or one computed from it.
func (c Clock) At(t time.Time) time.Duration {
	return c.unixTime + t.Sub(c.start)
}
