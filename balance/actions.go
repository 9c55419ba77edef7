package balance

// What an instance wants done. Nothing is decided here.

import "time"

// Action is something that this instance wants done. Actions take effect in their order.
type Action interface{ action() }

// Attempt starts an attempt to connect the request to the server. Attempts of a request are
// numbered from 0 in the order of their actions.
type Attempt struct {
	ID      string // of the request
	Server  string
	Timeout time.Duration // 0: until the client gives up
}

// RejectReason is why a request is given up.
type RejectReason int

// The reasons for which a request is given up.
const (
	NotAdmitted       RejectReason = iota // admission was closed for as long as it may wait
	DeadlineExceeded                      // its time is over
	ListExpired                           // the server list may not be relied on
	NoServer                              // no ready server may take it
	AttemptsExhausted                     // it has had all its attempts
	RetryUnsafe                           // it may have run, and must not be repeated
	OverQuota                             // the fleet's quotas do not allow it
	ConstraintFull                        // no server within its constraint has capacity
	RejectReasonCount                     // how many reasons there are
)

var rejectReasonNames = [RejectReasonCount]string{"not_admitted", "out_of_time", "list_expired", "no_server", "attempts_used_up",
	"repeat_harmful", "over_quota", "constraint_full"}

// String returns the reason as it stands in log lines and metrics.
func (r RejectReason) String() string { return rejectReasonNames[r] }

// Reject is a final answer: the request was not served, and repeating it is harmless.
type Reject struct {
	ID         string
	RetryAfter time.Duration // the client ought not to return sooner; 0 for no advice
	Reason     RejectReason
}

// Fail is a final answer that says nothing of whether the request ran.
type Fail struct {
	ID     string
	Reason RejectReason
}

// Migrate ends an open connection gracefully; its client connects again.
type Migrate struct{ ID string }

// Probe asks a server for its load report. A ProbeResult answers it.
type Probe struct{ Server string }

// SetTimer asks for a TimerFired after Delay. Timers can't be cancelled; stale ones are ignored.
type SetTimer struct {
	Delay time.Duration
	Token uint64
}

// Subscribe asks for the server list and its changes from now on.
type Subscribe struct{}

// Log adds an event to the operators' log.
type Log struct {
	Text       string // the event as one sentence, for the simulator's log, which has no attributes
	Message    string // fixed for each kind of event
	Attributes []Attribute
}

// Attribute is what varies in a Log: a key in snake case and its value.
type Attribute struct {
	Key   string
	Value any
}

func (Attempt) action()   {}
func (Reject) action()    {}
func (Fail) action()      {}
func (Migrate) action()   {}
func (Probe) action()     {}
func (SetTimer) action()  {}
func (Subscribe) action() {}
func (Log) action()       {}
