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

// Reject is a final answer: the request was not served, and repeating it is harmless.
type Reject struct {
	ID         string
	RetryAfter time.Duration // the client ought not to return sooner; 0 for no advice
}

// Fail is a final answer that says nothing of whether the request ran.
type Fail struct{ ID string }

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
