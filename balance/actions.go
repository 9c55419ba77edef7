package balance

// What an instance wants done. Nothing is decided here.

import "time"

// Action is something that this instance wants done. Actions take effect in
// their order.
type Action interface{ action() }

// Attempt starts an attempt. Attempts of a request are numbered from 0 in the
// order of their actions. A Timeout of 0 lasts until the client gives up.
type Attempt struct {
	ID      string
	Server  string
	Timeout time.Duration
}

// Refuse is a final answer: declined, and trying again is harmless.
type Reject struct {
	ID         string
	RetryAfter time.Duration // the client ought not to return sooner; 0 for no advice
}

// Fail is a final answer that promises nothing.
type Fail struct{ ID string }

// Move ends an open connection politely; its client comes again.
type Migrate struct{ ID string }

// Probe asks a server for its load.
type Probe struct{ Server string }

// SetTimer asks for a TimerFired after Delay. Timers can't be taken back.
type SetTimer struct {
	Delay time.Duration
	Token uint64
}

// Subscribe asks for changes of the server list from now on.
type Subscribe struct{}

// Log adds a line to the operators' log.
type Log struct{ Text string }

func (Attempt) action()   {}
func (Reject) action()    {}
func (Fail) action()      {}
func (Migrate) action()   {}
func (Probe) action()     {}
func (SetTimer) action()  {}
func (Subscribe) action() {}
func (Log) action()       {}
