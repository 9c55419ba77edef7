package listlease

import "time"

// minQueueWait is the shortest time after which a known discovery ends calls that have waited too long.
const minQueueWait = time.Second

// Outcome is how a call of discovery ended.
type Outcome int

// The outcomes of a call.
const (
	WatchEnded      Outcome = iota // a watch that had confirmed the list was ended by the other side
	WatchSilent                    // a watch that had confirmed the list fell silent
	ConnectRefused                 // nobody listens
	ConnectTimedOut                // the connection never came up
	NotMade                        // not made for a reason of this process, such as no descriptor
	Unavailable                    // answered with another status than 200
	Reset                          // ended or broke before the answer's header had come
	Unanswered                     // no whole header came in the time for it
	Incomplete                     // a header came, and no whole list
	Unusable                       // a list came that can't be used: malformed, or older than the one held
	Superseded                     // ended by this process: another call has won, or the address changed
	OutcomeCount                   // how many outcomes there are
)

var outcomeNames = [OutcomeCount]string{"watch_ended", "watch_silent", "connect_refused", "connect_timed_out", "not_made",
	"unavailable", "reset", "unanswered", "incomplete", "spoilt", "superseded"}

// String returns the outcome as it stands in log lines and metrics.
func (o Outcome) String() string { return outcomeNames[o] }

// Call is a call of discovery that has ended.
type Call struct {
	BegunAt, EndedAt time.Time
	Outcome          Outcome
}

// duration is how long the call took.
func (c Call) duration() time.Duration { return c.EndedAt.Sub(c.BegunAt) }

// TimedOutInQueue reports whether discovery took the call, let it wait and had no time for it.
func (c Call) TimedOutInQueue() bool {
	switch c.Outcome {
	case Unavailable, Reset, Unanswered:
		return c.duration() >= minQueueWait
	}
	return false
}
