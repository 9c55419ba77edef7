package refmodel

// Which answer a request needs, and where it may be sent: rules 1, 2 and 5.

import (
	"slices"
	"time"
)

// requestStatus is how far a request is. Violations quote it.
type requestStatus string

const (
	unanswered requestStatus = ""
	answered   requestStatus = "answered"
	clientLeft requestStatus = "left"
	overdue    requestStatus = "overdue"
)

// never is the time of what has not happened.
const never time.Duration = -1

type request struct {
	id       string
	deadline time.Duration
	retries  RetryPolicy
	status   requestStatus
	statusAt time.Duration // when it became more than unanswered

	attempts        int
	inFlightOn      string        // the server of its present attempt; empty without one
	sentAt          time.Duration // the present or last attempt
	idleSince       time.Duration // when its last attempt ended
	failedOn        []string      // the servers whose attempt ended without service
	mustNotRetry    bool          // an attempt ended without a reply
	ranOn           string        // the server where it may first have run
	ranAt           time.Duration // the earliest time it can have run: when that attempt was sent
	unservableSince time.Duration // since when no server may be sent it, or never
}

// RequestArrived records a new request. Its id may be that of a request that is finished.
func (c *Checker) RequestArrived(now time.Duration, id string, deadline time.Duration, retries RetryPolicy) {
	c.CheckDeadlines(now)
	q := &request{id: id, deadline: deadline, retries: retries, idleSince: now, unservableSince: never}
	c.requests[id] = q
	c.open = append(c.open, q)
	c.updateUnservable()
}

// AttemptSent records an attempt as the server that it was sent to sees it.
func (c *Checker) AttemptSent(now time.Duration, id, to string) {
	c.CheckDeadlines(now)
	q, s := c.requests[id], c.servers[to]
	if q == nil || s == nil || !s.isKnown {
		c.addViolation(3, "%s sent to %s: one of them is unknown", id, to)
		return
	}
	crossed := c.mayHaveCrossed(q)
	c.checkAttempt(q, to, crossed)
	if since, isLeaving := c.leavingSince(s); isLeaving && now > since+c.rules.DrainGrace {
		c.addViolation(3, "%s sent to %s, known to be leaving for %v", id, to, now-since)
	}
	if q.status == unanswered || crossed {
		q.inFlightOn, q.sentAt = to, now
	}
	q.attempts++
	s.sentAt = append(s.sentAt, now)
	c.checkColdBudget(to, s)
	c.updateUnservable()
}

// mayHaveCrossed reports whether the node may not have seen yet that the request's client left.
func (c *Checker) mayHaveCrossed(q *request) bool {
	return q.status == clientLeft && c.now <= q.statusAt+c.rules.ClientGoneGrace
}

// checkAttempt checks a new attempt against rules 1 and 2.
func (c *Checker) checkAttempt(q *request, to string, crossed bool) {
	switch {
	case q.status != unanswered && !crossed:
		c.addViolation(2, "%s sent to %s though it is %s", q.id, to, q.status)
	case q.inFlightOn != "":
		c.addViolation(2, "%s sent to %s while it is in flight on %s", q.id, to, q.inFlightOn)
	case q.attempts >= c.rules.MaxAttempts:
		c.addViolation(2, "%s sent more than %d times", q.id, c.rules.MaxAttempts)
	case q.mustNotRetry || !c.mayRetryOn(q, to):
		c.addViolation(2, "%s sent again to %s, where its effect may come twice", q.id, to)
	case c.now > q.deadline:
		c.addViolation(1, "%s sent after its client gave up", q.id)
	}
}

// AttemptEnded records the end of the attempt in flight, unless it was served.
func (c *Checker) AttemptEnded(now time.Duration, id string, outcome AttemptOutcome) {
	c.CheckDeadlines(now)
	q := c.requests[id]
	if q == nil || q.inFlightOn == "" {
		return
	}
	q.failedOn = append(q.failedOn, q.inFlightOn)
	if outcome != NotRun {
		if q.ranOn == "" {
			q.ranOn, q.ranAt = q.inFlightOn, q.sentAt
		}
		q.mustNotRetry = outcome == NoReply
	}
	q.inFlightOn, q.idleSince = "", now
	c.updateUnservable()
}

// RequestAnswered records a final answer as the client sees it.
func (c *Checker) RequestAnswered(now time.Duration, id string, answer Answer) {
	c.CheckDeadlines(now)
	q := c.requests[id]
	switch {
	case q == nil:
		c.addViolation(1, "%s answered, but there is no such request", id)
		return
	case q.status == clientLeft && q.statusAt == now: // the answer and the client's end crossed
		return
	case q.status != unanswered:
		c.addViolation(1, "%s answered though it is %s", id, q.status)
		return
	}
	c.checkAnswer(q, answer)
	c.finish(q, answered)
}

// checkAnswer checks the final answer of an open request against rules 1 and 2.
func (c *Checker) checkAnswer(q *request, answer Answer) {
	retriesAreLimited := q.retries.Forbidden || q.retries.AllowedOn != nil
	switch {
	case answer == Served && q.inFlightOn == "":
		c.addViolation(1, "%s answered as served, but no attempt is in flight", q.id)
	case answer != Served && q.inFlightOn != "":
		c.addViolation(2, "%s answered while it is in flight on %s", q.id, q.inFlightOn)
	case answer == Refused && q.ranOn != "" && retriesAreLimited:
		c.addViolation(1, "%s refused as safe to repeat though it may have run", q.id)
	case c.now > q.deadline+c.rules.AnswerGrace:
		c.addViolation(1, "%s answered %v after its client gave up", q.id, c.now-q.deadline)
	}
}

// ClientLeft records that a client has gone before its answer: it needs none any more.
func (c *Checker) ClientLeft(now time.Duration, id string) {
	c.CheckDeadlines(now)
	if q := c.requests[id]; q != nil && q.status == unanswered {
		c.finish(q, clientLeft)
	}
}

func (c *Checker) finish(q *request, status requestStatus) {
	q.status, q.statusAt = status, c.now
	if status != clientLeft { // then its attempt is in flight until it ends
		q.inFlightOn = ""
	}
	c.open = slices.DeleteFunc(c.open, func(o *request) bool { return o == q })
}

// updateUnservable sets for each open request since when no server may be sent it.
func (c *Checker) updateUnservable() {
	for _, q := range c.open {
		since, isUnservable := c.unservable(q)
		switch {
		case !isUnservable:
			q.unservableSince = never
		case q.unservableSince < 0:
			q.unservableSince = since
		}
	}
}

// unservable reports whether no server may be sent q any more, and since when.
func (c *Checker) unservable(q *request) (since time.Duration, yes bool) {
	if q.inFlightOn != "" {
		return 0, false
	}
	if q.mustNotRetry || q.attempts >= c.rules.MaxAttempts || q.ranOn != "" && q.retries.Forbidden {
		return c.now, true
	}
	if !c.hasEndpoints {
		return 0, false // the endpoint list is still to come
	}
	for id, s := range c.servers {
		if s.isKnown && s.state == Ready && !slices.Contains(q.failedOn, id) && c.mayRetryOn(q, id) {
			return 0, false
		}
	}
	windowEnd := q.ranAt + q.retries.Within
	if q.ranOn == "" || q.retries.Within <= 0 || c.now < windowEnd {
		return c.now, true
	}
	if q.idleSince >= windowEnd {
		return q.idleSince, true
	}
	return windowEnd + c.rules.Tick, true // no event tells a node of the end: it sees it at a tick
}

// mayRetryOn reports whether q may be sent to a server, given that it may have run.
func (c *Checker) mayRetryOn(q *request, to string) bool {
	if q.ranOn == "" {
		return true
	}
	r := q.retries
	isInTime := r.Within == 0 || c.now < q.ranAt+r.Within
	isAllowed := r.AllowedOn == nil || r.AllowedOn(q.ranOn, to)
	return !r.Forbidden && isInTime && isAllowed
}
