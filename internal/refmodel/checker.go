// Package refmodel is the reference model of the rules that no load balancer node may break.
// Tests step its Checker beside the real code and report to it what clients and servers see.
// The model is slow and meant to be plainly right: it keeps everything that happened and looks
// through it again at every step. It shares no code with what it judges and knows nothing of
// how that code decides.
//
//  1. Each request gets exactly one final answer, before its client's deadline.
//  2. At most one attempt of a request is in flight, and none after its answer or once its
//     client has gone; an attempt that may have run is retried only where that is idempotent.
//  3. Nothing new goes to a server later than a grace after the node was notified that the
//     server drains or is gone. A change counts as notified a while after discovery had it,
//     whether or not the notification arrived.
//  4. No cold server is sent more than a multiple of its present capacity, in any window, by all
//     processes together; beyond that only what chance explains.
//  5. A request that no server may be sent any more is answered at once.
//
// A Checker starts no goroutines and is not safe for concurrent use: its callers hold a lock.
package refmodel

import (
	"fmt"
	"slices"
	"time"
)

// Rules are the parameters of the rules. Times are on the clock of the Checker's caller.
type Rules struct {
	AnswerGrace     time.Duration // rule 1: an answer still counts this long after the deadline
	MaxAttempts     int           // rule 2: of one request
	ClientGoneGrace time.Duration // rule 2: no attempt begins later than this after its client has gone
	DrainGrace      time.Duration // rule 3
	NotifyDelay     time.Duration // rule 3: when a change counts as notified, after discovery had it; 0: pushed

	SlowStartDuration time.Duration // rule 4: a server is warm after it
	SlowStartShare    float64       // the share of its capacity that a server starts with
	ServerRate        float64       // requests a second that a warm server can take; 0 disables the rule
	OverloadMultiple  float64       // of its present capacity that a cold server may be sent
	OverloadWindow    time.Duration // within any window of this length
	ChanceAllowance   float64       // upper limit of the requests beyond the budget; 0 allows what chance explains

	FailFastLimit time.Duration // rule 5: the longest delay that still counts as at once
	Tick          time.Duration // rule 5: the interval at which a node sees that a retry window has ended
}

// RetryPolicy says where a request that may have run may be sent once more.
type RetryPolicy struct {
	Forbidden bool                          // on no server
	Within    time.Duration                 // no later than this after it ran; 0 sets no limit
	AllowedOn func(ran, server string) bool // nil allows every server
}

// Answer is a final answer.
type Answer int

// The final answers. Refused promises that repeating the request is safe.
const (
	Served Answer = iota
	Refused
	Failed
)

// AttemptOutcome is how an attempt ended that was not served.
type AttemptOutcome int

// The outcomes of an attempt.
const (
	NotRun     AttemptOutcome = iota // it has never run: it may go to another server
	MayHaveRun                       // it may have run, and the server has answered
	NoReply                          // it may have run, or may yet: it must not be retried
)

// ServerState is the state of a server as discovery has it.
type ServerState int

// The states of a server.
const (
	Ready ServerState = iota
	Draining
	Gone
)

// Checker holds what has happened and checks the rules. Its methods take the present time, which
// never goes back.
type Checker struct {
	// Violations has one line for each broken rule: "rule N at TIME: what happened".
	Violations []string

	rules        Rules
	now          time.Duration
	hasEndpoints bool // the node was notified of some server
	requests     map[string]*request
	open         []*request // not answered yet, in the order of their arrival
	servers      map[string]*server
	outages      []outage // in order
}

// NewChecker returns a Checker for which nothing has happened yet.
func NewChecker(rules Rules) *Checker {
	return &Checker{
		rules:    rules,
		requests: map[string]*request{},
		servers:  map[string]*server{},
	}
}

func (c *Checker) addViolation(rule int, format string, args ...any) {
	c.Violations = append(c.Violations, fmt.Sprintf("rule %d at %v: ", rule, c.now)+fmt.Sprintf(format, args...))
}

// SettingsChanged records that a request may have maxAttempts attempts from now on.
func (c *Checker) SettingsChanged(now time.Duration, maxAttempts int) {
	c.CheckDeadlines(now)
	c.rules.MaxAttempts = maxAttempts
	c.updateUnservable()
}

// CheckDeadlines advances the time and reports the requests whose answer is overdue by now.
func (c *Checker) CheckDeadlines(now time.Duration) {
	c.now = max(c.now, now)
	c.applyDueRestarts()
	c.updateUnservable()
	for _, q := range slices.Clone(c.open) {
		switch {
		case c.now > q.deadline+c.rules.AnswerGrace:
			c.addViolation(1, "%s has no answer %v after its client gave up", q.id, c.now-q.deadline)
		case q.unservableSince >= 0 && c.now > q.unservableSince+c.rules.FailFastLimit:
			c.addViolation(5, "%s waits since %v though no server may be sent it", q.id, q.unservableSince)
		default:
			continue
		}
		c.finish(q, overdue) // each request is reported once
	}
}

// Unanswered lists the ids of the requests that still wait for their answer, oldest first.
func (c *Checker) Unanswered() []string {
	ids := []string{}
	for _, q := range c.open {
		ids = append(ids, q.id)
	}
	return ids
}
