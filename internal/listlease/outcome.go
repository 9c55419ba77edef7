package listlease

import "time"

// minQueueWait is the shortest time after which a discovery service is known to end calls that have waited
// too long in its queue.
const minQueueWait = time.Second

// Outcome is the way in which a call to discovery ended.
type Outcome int

// The outcomes of a call.
const (
	WatchEnded      Outcome = iota // the service ended a watch that had confirmed the list
	WatchSilent                    // no data arrived in time on a watch that had confirmed the list
	ConnectRefused                 // the connection was refused: no process listens at the address
	ConnectTimedOut                // the connection was not established in time
	NotMade                        // the call failed in this process, such as for lack of a descriptor
	Unavailable                    // the status of the answer was not 200
	Reset                          // the connection ended or broke before the header was complete
	Unanswered                     // no complete header arrived within its time limit
	Incomplete                     // a header arrived, but no complete list
	Unusable                       // a message was malformed, or changes were older than the current list
	Superseded                     // ended by this process: another call succeeded, or the address changed
	OutcomeCount                   // number of outcomes
)

var outcomeNames = [OutcomeCount]string{"watch_ended", "watch_silent", "connect_refused", "connect_timed_out", "not_made",
	"unavailable", "reset", "unanswered", "incomplete", "spoilt", "superseded"}

// String returns the name of the outcome in log lines and metrics.
func (o Outcome) String() string { return outcomeNames[o] }

// Call describes a call to discovery that has ended.
type Call struct {
	BegunAt, EndedAt time.Time
	Outcome          Outcome
}

// duration returns the duration of the call.
func (c Call) duration() time.Duration { return c.EndedAt.Sub(c.BegunAt) }

// TimedOutInQueue reports whether discovery accepted the call, queued it and did not serve it in time.
func (c Call) TimedOutInQueue() bool {
	switch c.Outcome {
	case Unavailable, Reset, Unanswered:
		return c.duration() >= minQueueWait
	}
	return false
}
