package dispatch

import (
	"time"

	"coralrelay/internal/sysfault"
)

// Clock is the module's clock: the Unix time at the start plus the monotonic time since then. Time
// is not counted from the start of the process, because the start time of an older server would then
// be negative. The module takes a negative start time for one long ago, and would send a server in
// slow start the load of a warm one.
type Clock struct {
	start    time.Time
	unixTime time.Duration // Unix time of start by the wall clock
}

// NewClock returns a Clock that starts now.
func NewClock() Clock {
	return Clock{start: time.Now(), unixTime: time.Duration(sysfault.WallNow().UnixNano())}
}

// Now returns the current time by this clock. It does not step when the wall clock does.
func (c Clock) Now() time.Time { return time.Unix(0, int64(c.At(time.Now()))) }

// At converts a time that time.Now has returned, or one computed from it, to the time of the module.
func (c Clock) At(t time.Time) time.Duration {
	return c.unixTime + t.Sub(c.start)
}
