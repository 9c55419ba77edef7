// Package rules is a model of the rules that no front may break, for tests to step
// beside the real code. It is slow and meant to be plainly right: it keeps all that
// happened and looks through it again at every step. It shares no line with the code
// that it judges, and knows nothing of how that code decides.
//
//  1. Each request gets exactly one final answer, before its client gives up.
//  2. One attempt of a request is out at a time, and none after its answer; one that
//     may have run is repeated only where that does no harm.
//  3. Nothing new goes to a server later than a grace after it was told that the
//     server drains or is gone.
//  4. No cold server is sent over a multiple of what it can do, in any window.
//  5. What is given up is answered at once: a request that nobody may be sent is not
//     kept waiting.
package rules

import (
	"fmt"
	"slices"
	"time"
)

// Terms are the figures of the rules. Times are on the caller's clock.
type Terms struct {
	Grace    time.Duration // rule 1: an answer still counts this long after the deadline
	Attempts int           // of one request, at most
	Drain    time.Duration // rule 3

	Ramp      time.Duration // rule 4: a server is warm after it
	ColdShare float64       // of its capacity that a server starts with
	Rate      float64       // requests a second that a warm one can take; 0 leaves the rule out
	Multiple  float64       // of its present capacity that a cold one may be sent
	Window    time.Duration // within any such time
	Chance    float64       // requests beyond that, as they come by chance

	Prompt time.Duration // rule 5: what passes for at once
}

// Repeats says where a request that may have run may be sent once more.
type Repeats struct {
	Never  bool                          // nowhere
	Within time.Duration                 // no later than this after it ran; 0 sets no limit
	Same   func(ran, server string) bool // nil: everywhere
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
type End int

// The ends.
const (
	NotRun  End = iota // it has never run: it may go elsewhere
	MayRun             // it may have run, and the server has answered
	NoReply            // it may have run, or may yet: nothing is sent again
)

// State is what was told of a server.
type State int

// The states.
const (
	Ready State = iota
	Leaving
	Gone
)

// Book holds what has happened. Its methods take the present time, which never goes
// back; what breaks a rule is in Broken.
type Book struct {
	Broken []string

	terms    Terms
	now      time.Duration
	listed   bool // some server was told of
	requests map[string]*request
	open     []*request // still owed an answer, in order
	servers  map[string]*server
}

type request struct {
	id       string
	deadline time.Duration
	repeats  Repeats
	out      string // where its attempt is; empty if none is out
	sentAt   time.Duration
	idle     time.Duration // since when none is out
	attempts int
	tried    []string      // that did not take it
	over     bool          // nothing may be sent any more
	ran      string        // where it may first have run
	ranAt    time.Duration // the earliest that can have been: when it was sent
	closed   string        // how it is over: its answer, or that its client has left
	closedAt time.Duration
	hopeless time.Duration // since when nobody may be sent it, or -1
}

type server struct {
	state   State
	told    time.Duration // when it was first told to be leaving
	started time.Duration
	sent    []time.Duration
}

// NewBook returns an empty Book.
func NewBook(t Terms) *Book {
	return &Book{terms: t, requests: map[string]*request{}, servers: map[string]*server{}}
}

func (b *Book) broken(rule int, format string, args ...any) {
	b.Broken = append(b.Broken, fmt.Sprintf("rule %d at %v: ", rule, b.now)+fmt.Sprintf(format, args...))
}

// Told takes what the node was told of a server. started is when its process did; 0
// means long ago.
func (b *Book) Told(now time.Duration, id string, state State, started time.Duration) {
	b.Pass(now)
	s := b.servers[id]
	if s == nil {
		s = &server{}
		b.servers[id] = s
	}
	if state != Ready && s.state == Ready {
		s.told = now
	}
	if started != s.started {
		s.started, s.sent = started, nil // another process: its budget is its own
	}
	s.state, b.listed = state, true
	b.look()
}

// Retuned takes that other settings hold: so many attempts are allowed from now on.
func (b *Book) Retuned(now time.Duration, attempts int) {
	b.Pass(now)
	b.terms.Attempts = attempts
	b.look()
}

// Asked takes a new request. Its id may be one whose request is over.
func (b *Book) Asked(now time.Duration, id string, deadline time.Duration, r Repeats) {
	b.Pass(now)
	q := &request{id: id, deadline: deadline, repeats: r, idle: now, hopeless: -1}
	b.requests[id] = q
	b.open = append(b.open, q)
	b.look()
}

// Sent takes an attempt, as its server sees it.
func (b *Book) Sent(now time.Duration, id, to string) {
	b.Pass(now)
	q, s := b.requests[id], b.servers[to]
	if q == nil || s == nil {
		b.broken(3, "%s sent to %s: nobody told of one of them", id, to)
		return
	}
	switch {
	case q.closed == "left" && q.closedAt == now: // the node can't have seen it yet
	case q.closed != "":
		b.broken(2, "%s sent to %s though it is %s", id, to, q.closed)
	case q.out != "":
		b.broken(2, "%s sent to %s while it is out at %s", id, to, q.out)
	case q.attempts >= b.terms.Attempts:
		b.broken(2, "%s sent more than %d times", id, b.terms.Attempts)
	case q.over || !b.mayRepeat(q, to):
		b.broken(2, "%s sent again to %s, where its effect may come twice", id, to)
	case now > q.deadline:
		b.broken(1, "%s sent after its client gave up", id)
	}
	if s.state != Ready && now > s.told+b.terms.Drain {
		b.broken(3, "%s sent to %s, told %v ago to be leaving", id, to, now-s.told)
	}
	if q.closed == "" {
		q.out, q.sentAt = to, now
	}
	q.attempts++
	s.sent = append(s.sent, now)
	b.cold(to, s)
	b.look()
}

// cold holds the window that ends now against a server's budget. As each send ends
// one, no window with more in it is left out.
func (b *Book) cold(id string, s *server) {
	t := b.terms
	age := b.now - s.started
	if t.Rate == 0 || s.started <= 0 || age >= t.Ramp {
		return
	}
	within := 0
	for _, at := range s.sent {
		if at > b.now-t.Window {
			within++
		}
	}
	warmth := t.ColdShare + (1-t.ColdShare)*age.Seconds()/t.Ramp.Seconds()
	budget := t.Multiple * warmth * t.Rate * t.Window.Seconds()
	if float64(within) > budget+t.Chance {
		b.broken(4, "%s, %v old, sent %d within %v; its budget is %.1f", id, age, within, t.Window, budget)
	}
}

// Ended takes the end of the attempt that is out, unless it was served.
func (b *Book) Ended(now time.Duration, id string, how End) {
	b.Pass(now)
	q := b.requests[id]
	if q == nil || q.out == "" {
		return
	}
	q.tried = append(q.tried, q.out)
	if how != NotRun {
		if q.ran == "" {
			q.ran, q.ranAt = q.out, q.sentAt
		}
		q.over = how == NoReply
	}
	q.out, q.idle = "", now
	b.look()
}

// Answered takes a final answer, as the client sees it.
func (b *Book) Answered(now time.Duration, id string, a Answer) {
	b.Pass(now)
	q := b.requests[id]
	switch {
	case q == nil:
		b.broken(1, "%s answered, but nobody asked", id)
		return
	case q.closed == "left" && q.closedAt == now: // the two crossed
		return
	case q.closed != "":
		b.broken(1, "%s answered though it is %s", id, q.closed)
		return
	case a == Served && q.out == "":
		b.broken(1, "%s answered as served, but no attempt is out", id)
	case a != Served && q.out != "":
		b.broken(2, "%s answered while it is out at %s", id, q.out)
	case a == Refused && q.ran != "" && (q.repeats.Never || q.repeats.Same != nil):
		b.broken(1, "%s refused as harmless though it may have run", id)
	case now > q.deadline+b.terms.Grace:
		b.broken(1, "%s answered %v after its client gave up", id, now-q.deadline)
	}
	b.close(q, "answered")
}

// Left takes that a client has gone before its answer: none is owed any more.
func (b *Book) Left(now time.Duration, id string) {
	b.Pass(now)
	if q := b.requests[id]; q != nil && q.closed == "" {
		b.close(q, "left")
	}
}

func (b *Book) close(q *request, how string) {
	q.closed, q.closedAt, q.out = how, b.now, ""
	b.open = slices.DeleteFunc(b.open, func(o *request) bool { return o == q })
}

// Pass lets time pass, and looks for what it has made late.
func (b *Book) Pass(now time.Duration) {
	b.now = max(b.now, now)
	b.look()
	for _, q := range slices.Clone(b.open) {
		switch {
		case b.now > q.deadline+b.terms.Grace:
			b.broken(1, "%s has no answer %v after its client gave up", q.id, b.now-q.deadline)
		case q.hopeless >= 0 && b.now > q.hopeless+b.terms.Prompt:
			b.broken(5, "%s waits since %v though nobody may be sent it", q.id, q.hopeless)
		default:
			continue
		}
		b.close(q, "overdue") // told once
	}
}

// look notes of every request since when nobody may be sent it.
func (b *Book) look() {
	for _, q := range b.open {
		switch since, hopeless := b.givenUp(q); {
		case !hopeless:
			q.hopeless = -1
		case q.hopeless < 0:
			q.hopeless = since
		}
	}
}

// givenUp tells whether nobody may be sent q any more, and since when.
func (b *Book) givenUp(q *request) (since time.Duration, yes bool) {
	if q.out != "" {
		return 0, false
	}
	if q.over || q.attempts >= b.terms.Attempts || q.ran != "" && q.repeats.Never {
		return b.now, true
	}
	if !b.listed {
		return 0, false // the list is still to come
	}
	for id, s := range b.servers {
		if s.state == Ready && !slices.Contains(q.tried, id) && b.mayRepeat(q, id) {
			return 0, false
		}
	}
	if q.ran != "" && q.repeats.Within > 0 && b.now >= q.ranAt+q.repeats.Within {
		return max(q.ranAt+q.repeats.Within, q.idle), true
	}
	return b.now, true
}

// mayRepeat tells whether q may be sent to a server, given that it may have run.
func (b *Book) mayRepeat(q *request, to string) bool {
	if q.ran == "" {
		return true
	}
	r := q.repeats
	return !r.Never && (r.Within == 0 || b.now < q.ranAt+r.Within) && (r.Same == nil || r.Same(q.ran, to))
}

// Owed lists what still waits for its answer.
func (b *Book) Owed() []string {
	ids := []string{}
	for _, q := range b.open {
		ids = append(ids, q.id)
	}
	return ids
}
