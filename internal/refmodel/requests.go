package refmodel

// What requests are owed, and where they may be sent: rules 1, 2 and 5.

import (
	"slices"
	"time"
)

type request struct {
	id       string
	deadline time.Duration
	repeats  Retries
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

// Asked takes a new request. Its id may be one whose request is over.
func (b *Checker) RequestArrived(now time.Duration, id string, deadline time.Duration, r Retries) {
	b.CheckDeadlines(now)
	q := &request{id: id, deadline: deadline, repeats: r, idle: now, hopeless: -1}
	b.requests[id] = q
	b.open = append(b.open, q)
	b.look()
}

// Sent takes an attempt, as its server sees it.
func (b *Checker) AttemptSent(now time.Duration, id, to string) {
	b.CheckDeadlines(now)
	q, s := b.requests[id], b.servers[to]
	if q == nil || s == nil || !s.known {
		b.broken(3, "%s sent to %s: nobody told of one of them", id, to)
		return
	}
	crossed := q.closed == "left" && now <= q.closedAt+b.terms.ClientGoneGrace // the node may not have seen it yet
	switch {
	case q.closed != "" && !crossed:
		b.broken(2, "%s sent to %s though it is %s", id, to, q.closed)
	case q.out != "":
		b.broken(2, "%s sent to %s while it is out at %s", id, to, q.out)
	case q.attempts >= b.terms.MaxAttempts:
		b.broken(2, "%s sent more than %d times", id, b.terms.MaxAttempts)
	case q.over || !b.mayRepeat(q, to):
		b.broken(2, "%s sent again to %s, where its effect may come twice", id, to)
	case now > q.deadline:
		b.broken(1, "%s sent after its client gave up", id)
	}
	if since, yes := b.leaving(s); yes && now > since+b.terms.DrainGrace {
		b.broken(3, "%s sent to %s, told %v ago to be leaving", id, to, now-since)
	}
	if q.closed == "" || crossed {
		q.out, q.sentAt = to, now
	}
	q.attempts++
	s.sent = append(s.sent, now)
	b.cold(to, s)
	b.look()
}

// Ended takes the end of the attempt that is out, unless it was served.
func (b *Checker) AttemptEnded(now time.Duration, id string, how AttemptOutcome) {
	b.CheckDeadlines(now)
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
func (b *Checker) RequestAnswered(now time.Duration, id string, a Answer) {
	b.CheckDeadlines(now)
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
	case a == Refused && q.ran != "" && (q.repeats.Forbidden || q.repeats.AllowedOn != nil):
		b.broken(1, "%s refused as harmless though it may have run", id)
	case now > q.deadline+b.terms.AnswerGrace:
		b.broken(1, "%s answered %v after its client gave up", id, now-q.deadline)
	}
	b.close(q, "answered")
}

// Left takes that a client has gone before its answer: none is owed any more.
func (b *Checker) ClientLeft(now time.Duration, id string) {
	b.CheckDeadlines(now)
	if q := b.requests[id]; q != nil && q.closed == "" {
		b.close(q, "left")
	}
}

func (b *Checker) close(q *request, how string) {
	q.closed, q.closedAt = how, b.now
	if how != "left" { // then its attempt is out until it ends
		q.out = ""
	}
	b.open = slices.DeleteFunc(b.open, func(o *request) bool { return o == q })
}

// look notes of every request since when nobody may be sent it.
func (b *Checker) look() {
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
func (b *Checker) givenUp(q *request) (since time.Duration, yes bool) {
	if q.out != "" {
		return 0, false
	}
	if q.over || q.attempts >= b.terms.MaxAttempts || q.ran != "" && q.repeats.Forbidden {
		return b.now, true
	}
	if !b.listed {
		return 0, false // the list is still to come
	}
	for id, s := range b.servers {
		if s.known && s.state == Ready && !slices.Contains(q.tried, id) && b.mayRepeat(q, id) {
			return 0, false
		}
	}
	if end := q.ranAt + q.repeats.Within; q.ran != "" && q.repeats.Within > 0 && b.now >= end {
		if q.idle >= end {
			return q.idle, true
		}
		return end + b.terms.Tick, true
	}
	return b.now, true
}

// mayRepeat tells whether q may be sent to a server, given that it may have run.
func (b *Checker) mayRepeat(q *request, to string) bool {
	if q.ran == "" {
		return true
	}
	r := q.repeats
	return !r.Forbidden && (r.Within == 0 || b.now < q.ranAt+r.Within) && (r.AllowedOn == nil || r.AllowedOn(q.ran, to))
}
