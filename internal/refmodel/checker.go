// Package rules is a model of the rules that no front may break, for tests to step
// beside the real code. It is slow and meant to be plainly right: it keeps all that
// happened and looks through it again at every step. It shares no line with the code
// that it judges, and knows nothing of how that code decides.
//
//  1. Each request gets exactly one final answer, before its client gives up.
//  2. One attempt of a request is out at a time, and none after its answer or once its
//     client has gone; one that may have run is repeated only where that does no harm.
//  3. Nothing new goes to a server later than a grace after it was told that the
//     server drains or is gone. It counts as told a while after discovery had it,
//     whether or not it came.
//  4. No cold server is sent over a multiple of what it can do, in any window, by all
//     processes in sum; beyond that only what comes by chance.
//  5. What is given up is answered at once: a request that nobody may be sent is not
//     kept waiting.
package refmodel

import (
	"fmt"
	"slices"
	"time"
)

// Terms are the figures of the rules. Times are on the caller's clock.
type Rules struct {
	AnswerGrace     time.Duration // rule 1: an answer still counts this long after the deadline
	MaxAttempts     int           // rule 2: of one request, at most
	ClientGoneGrace time.Duration // none begins later than this after its client has gone
	DrainGrace      time.Duration // rule 3
	NotifyDelay     time.Duration // a change counts as told this long after discovery had it; 0 where it pushes

	SlowStartDuration time.Duration // rule 4: a server is warm after it
	SlowStartShare    float64       // of its capacity that a server starts with
	ServerRate        float64       // requests a second that a warm one can take; 0 leaves the rule out
	OverloadMultiple  float64       // of its present capacity that a cold one may be sent
	OverloadWindow    time.Duration // within any such time
	ChanceAllowance   float64       // requests beyond, where few processes keep closer than chance allows; 0: they don't

	PromptLimit time.Duration // rule 5: what passes for at once
	Tick        time.Duration // and when the end of a window is seen, which nothing tells of
}

// Repeats says where a request that may have run may be sent once more.
type Retries struct {
	Forbidden bool                          // nowhere
	Within    time.Duration                 // no later than this after it ran; 0 sets no limit
	AllowedOn func(ran, server string) bool // nil: everywhere
}

// Answer is a final answer.
type Answer int

// The final answers. Refused promises that asking again does no harm.
const (
	Served Answer = iota
	Refused
	Failed
)

// End is how an attempt ended that was not served.
type AttemptOutcome int

// The ends.
const (
	NotRun  AttemptOutcome = iota // it has never run: it may go elsewhere
	MayRun                        // it may have run, and the server has answered
	NoReply                       // it may have run, or may yet: nothing is sent again
)

// State is what was told of a server.
type ServerState int

// The states.
const (
	Ready ServerState = iota
	Draining
	Gone
)

// Book holds what has happened. Its methods take the present time, which never goes
// back; what breaks a rule is in Broken.
type Checker struct {
	Violations []string

	terms    Rules
	now      time.Duration
	listed   bool // some server was told of
	requests map[string]*request
	open     []*request // still owed an answer, in order
	servers  map[string]*server
}

// NewBook returns an empty Book.
func NewChecker(t Rules) *Checker {
	return &Checker{terms: t, requests: map[string]*request{}, servers: map[string]*server{}}
}

func (b *Checker) broken(rule int, format string, args ...any) {
	b.Violations = append(b.Violations, fmt.Sprintf("rule %d at %v: ", rule, b.now)+fmt.Sprintf(format, args...))
}

// Retuned takes that other settings hold: so many attempts are allowed from now on.
func (b *Checker) SettingsChanged(now time.Duration, attempts int) {
	b.CheckDeadlines(now)
	b.terms.MaxAttempts = attempts
	b.look()
}

// Pass lets time pass, and looks for what it has made late.
func (b *Checker) CheckDeadlines(now time.Duration) {
	b.now = max(b.now, now)
	b.newProcesses()
	b.look()
	for _, q := range slices.Clone(b.open) {
		switch {
		case b.now > q.deadline+b.terms.AnswerGrace:
			b.broken(1, "%s has no answer %v after its client gave up", q.id, b.now-q.deadline)
		case q.hopeless >= 0 && b.now > q.hopeless+b.terms.PromptLimit:
			b.broken(5, "%s waits since %v though nobody may be sent it", q.id, q.hopeless)
		default:
			continue
		}
		b.close(q, "overdue") // told once
	}
}

// Owed lists what still waits for its answer.
func (b *Checker) Unanswered() []string {
	ids := []string{}
	for _, q := range b.open {
		ids = append(ids, q.id)
	}
	return ids
}
