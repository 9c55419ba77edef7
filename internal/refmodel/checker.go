// Package refmodel is the reference model of the rules that a load balancer node must keep.
// Tests run its Checker beside the real code and report to it what clients and servers observe.
// The model prefers obvious correctness to speed: it keeps the whole history and searches it again
// at every step. It shares no code with the code under test and does not depend on how that code
// makes its decisions.
//
//  1. Each request gets exactly one final answer, before its client's deadline.
//  2. At most one attempt of a request is in flight at a time, and none after the final answer or
//     after the client has gone; an attempt that may have run is retried only where the retry is
//     idempotent.
//  3. No new attempt is sent to a server later than a grace period after the node was notified
//     that the server is draining or gone. A change counts as notified some time after discovery
//     had it, whether or not the notification arrived.
//  4. In any window, all processes together send a cold server no more requests than a multiple
//     of its present capacity, plus an excess that chance explains.
//  5. A request that may not be sent to any server any more is answered at once.
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
	AnswerGrace     time.Duration // rule 1: an answer is still accepted this long after the deadline
	MaxAttempts     int           // rule 2: of one request
	ClientGoneGrace time.Duration // rule 2: an attempt may begin up to this long after its client has gone
	DrainGrace      time.Duration // rule 3: an attempt may begin up to this long after the notification
	NotifyDelay     time.Duration // rule 3: from a change in discovery until it counts as notified; 0: pushed

	SlowStartDuration time.Duration // rule 4: a server is warm once its process is this old
	SlowStartShare    float64       // rule 4: the share of its capacity that a server starts with
	ServerRate        float64       // rule 4: requests per second of a warm server; 0 disables the rule
	OverloadMultiple  float64       // rule 4: the budget as a multiple of a cold server's present capacity
	OverloadWindow    time.Duration // rule 4: the length of the window in which requests are counted
	ChanceAllowance   float64       // rule 4: maximum of the chance excess, in requests; 0 sets none

	FailFastLimit time.Duration // rule 5: the longest delay that counts as at once
	Tick          time.Duration // rule 5: how often a node checks whether retry windows have ended
}

// RetryPolicy says where and until when a request that may have run may be sent again.
type RetryPolicy struct {
	Forbidden bool                          // on no server
	Within    time.Duration                 // no later than this after it ran; 0 sets no limit
	AllowedOn func(ran, server string) bool // nil allows every server
}

// Answer is the final answer of a request.
type Answer int

// The final answers. Refused promises the client that repeating the request is safe.
const (
	Served Answer = iota
	Refused
	Failed
)

// AttemptOutcome is the outcome of an attempt that did not serve its request.
type AttemptOutcome int

// The outcomes of an attempt.
const (
	NotRun     AttemptOutcome = iota // the request has not run: it may be sent to another server
	MayHaveRun                       // the request may have run, and the server has answered
	NoReply                          // the request may have run or may still run: it must not be retried
)

// ServerState is the state of a server in discovery.
type ServerState int

// The states of a server.
const (
	Ready ServerState = iota
	Draining
	Gone
)

// Checker records the events of a node and checks them against the rules. Its methods take the
// present time, which never decreases.
type Checker struct {
	// Violations has one line for each violation of a rule: "rule N at TIME: what happened".
	Violations []string

	rules        Rules
	now          time.Duration
	hasEndpoints bool // the node was notified of at least one server
	requests     map[string]*request
	open         []*request // not finished, in the order of their arrival
	servers      map[string]*server
	outages      []outage // in order of time
}

// NewChecker returns a Checker with an empty history.
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

// SettingsChanged records that requests may have up to maxAttempts attempts from now on.
func (c *Checker) SettingsChanged(now time.Duration, maxAttempts int) {
	c.CheckDeadlines(now)
	c.rules.MaxAttempts = maxAttempts
	c.updateUnservable()
}

// CheckDeadlines advances the time and adds a violation for each request whose answer is overdue.
func (c *Checker) CheckDeadlines(now time.Duration) {
	c.now = max(c.now, now)
	c.applyDueRestarts()
	c.updateUnservable()
	for _, req := range slices.Clone(c.open) {
		switch {
		case c.now > req.deadline+c.rules.AnswerGrace:
			c.addViolation(1, "%s is unanswered %v after its deadline", req.id, c.now-req.deadline)
		case req.unservableSince >= 0 && c.now > req.unservableSince+c.rules.FailFastLimit:
			c.addViolation(5, "%s is unanswered, and unservable since %v", req.id, req.unservableSince)
		default:
			continue
		}
		c.finish(req, overdue) // each request is reported once
	}
}

// Unanswered returns the ids of the requests that still wait for their answers, oldest first.
func (c *Checker) Unanswered() []string {
	ids := []string{}
	for _, req := range c.open {
		ids = append(ids, req.id)
	}
	return ids
}
