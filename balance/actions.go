package balance

// Actions returned by a Balancer. This file contains no decision logic.

import "time"

// Action is an operation that the caller of [Balancer.Handle] carries out. Actions take effect in the order
// in which they are returned.
type Action interface{ action() }

// Attempt starts an attempt to connect a request to a server. The attempts of a request are numbered from 0
// in the order of their actions.
type Attempt struct {
	ID      string // of the request
	Server  string
	Timeout time.Duration // 0 for no limit: the attempt lasts until the client gives up
}

// RejectReason is the reason why a request is not served.
type RejectReason int

// The reasons why a request is not served.
const (
	NotAdmitted       RejectReason = iota // the request was not admitted within the time that it may wait
	DeadlineExceeded                      // the deadline for the answer has passed
	ListExpired                           // the lease on the server list has expired
	NoServer                              // no ready server is allowed for the request
	AttemptsExhausted                     // the request has made its maximum number of attempts
	RetryUnsafe                           // an attempt may have run, and the request is not sent again
	OverQuota                             // the fleet's quotas do not admit the request
	ConstraintFull                        // no server within the request's constraint has capacity
	RejectReasonCount                     // the number of reasons
)

var rejectReasonNames = [RejectReasonCount]string{"not_admitted", "out_of_time", "list_expired", "no_server", "attempts_used_up",
	"repeat_harmful", "over_quota", "constraint_full"}

// String returns the reason in the form used in log lines and metrics.
func (r RejectReason) String() string { return rejectReasonNames[r] }

// Reject is a final answer: the request was not served, and the client may safely repeat it.
type Reject struct {
	ID         string
	RetryAfter time.Duration // the client should not retry sooner; 0 for no advice
	Reason     RejectReason
}

// Fail is a final answer that leaves open whether the request ran.
type Fail struct {
	ID     string
	Reason RejectReason
}

// Migrate ends an open connection gracefully, so that its client reconnects.
type Migrate struct{ ID string }

// Probe is a load probe: it asks a server for its load report. The answer is a ProbeResult.
type Probe struct{ Server string }

// SetTimer requests a TimerFired event after Delay. Timers cannot be cancelled; stale ones are ignored.
type SetTimer struct {
	Delay time.Duration
	Token uint64
}

// Subscribe subscribes to the server list and its changes.
type Subscribe struct{}

// Log adds an entry to the operators' log.
type Log struct {
	Text       string // the whole event as one sentence, for the simulator's log, which has no attributes
	Message    string // constant for each kind of event
	Attributes []Attribute
}

// Attribute is a variable part of a Log: a key in snake case and its value.
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
