package refmodel

// Rules 1, 2 and 5: the final answer of a request, and the servers that it may be sent to.

import (
	"slices"
	"time"
)

// requestStatus is the progress of a request. The texts of violations include it.
type requestStatus string

const (
	unanswered requestStatus = ""
	answered   requestStatus = "answered"
	clientLeft requestStatus = "left"
	overdue    requestStatus = "overdue"
)

// never is the time of an event that has not happened.
const never time.Duration = -1

type request struct {
	id       string
	deadline time.Duration
	retries  RetryPolicy
	status   requestStatus
	statusAt time.Duration // when it ceased to be unanswered

	attempts        int
	inFlightOn      string        // the server of the attempt in flight; empty without one
	sentAt          time.Duration // when the present or last attempt was sent
	idleSince       time.Duration // when its last attempt ended, or else when it arrived
	failedOn        []string      // the servers whose attempts ended without serving it
	mustNotRetry    bool          // an attempt ended without a reply
	ranOn           string        // the server of the first attempt that may have run; empty without one
	ranAt           time.Duration // the earliest time at which it can have run: when that attempt was sent
	unservableSince time.Duration // since when it may not be sent to any server, or never
}

// RequestArrived records a new request. The id of a finished request may be used again.
func (c *Checker) RequestArrived(now time.Duration, id string, deadline time.Duration, retries RetryPolicy) {
	c.CheckDeadlines(now)
	req := &request{id: id, deadline: deadline, retries: retries, idleSince: now, unservableSince: never}
	c.requests[id] = req
	c.open = append(c.open, req)
	c.updateUnservable()
}

// AttemptSent records an attempt at the moment at which its server receives it.
func (c *Checker) AttemptSent(now time.Duration, id, to string) {
	c.CheckDeadlines(now)
	req, s := c.requests[id], c.servers[to]
	if req == nil || s == nil || !s.isKnown {
		c.addViolation(3, "%s sent to %s: unknown request or server", id, to)
		return
	}
	inGrace := c.inClientGoneGrace(req)
	c.checkAttempt(req, to, inGrace)
	if since, isLeaving := c.leavingSince(s); isLeaving && now > since+c.rules.DrainGrace {
		c.addViolation(3, "%s sent to %s, whose drain or end was notified %v ago", id, to, now-since)
	}
	if req.status == unanswered || inGrace {
		req.inFlightOn, req.sentAt = to, now
	}
	req.attempts++
	s.sentAt = append(s.sentAt, now)
	c.checkColdBudget(to, s)
	c.updateUnservable()
}

// inClientGoneGrace reports whether the request's client left so recently that the node may not have
// noticed it yet.
func (c *Checker) inClientGoneGrace(req *request) bool {
	return req.status == clientLeft && c.now <= req.statusAt+c.rules.ClientGoneGrace
}

// checkAttempt checks a new attempt against rules 1 and 2. inGrace is the result of
// inClientGoneGrace.
func (c *Checker) checkAttempt(req *request, to string, inGrace bool) {
	switch {
	case req.status != unanswered && !inGrace:
		c.addViolation(2, "%s sent to %s although its status is %s", req.id, to, req.status)
	case req.inFlightOn != "":
		c.addViolation(2, "%s sent to %s while an attempt is in flight on %s", req.id, to, req.inFlightOn)
	case req.attempts >= c.rules.MaxAttempts:
		c.addViolation(2, "%s sent more than %d times", req.id, c.rules.MaxAttempts)
	case req.mustNotRetry || !c.mayRetryOn(req, to):
		c.addViolation(2, "%s retried on %s, where it may take effect twice", req.id, to)
	case c.now > req.deadline:
		c.addViolation(1, "%s sent after its deadline", req.id)
	}
}

// AttemptEnded records the end of the attempt in flight if the attempt did not serve the request.
func (c *Checker) AttemptEnded(now time.Duration, id string, outcome AttemptOutcome) {
	c.CheckDeadlines(now)
	req := c.requests[id]
	if req == nil || req.inFlightOn == "" {
		return
	}
	req.failedOn = append(req.failedOn, req.inFlightOn)
	if outcome != NotRun {
		if req.ranOn == "" {
			req.ranOn, req.ranAt = req.inFlightOn, req.sentAt
		}
		req.mustNotRetry = outcome == NoReply
	}
	req.inFlightOn, req.idleSince = "", now
	c.updateUnservable()
}

// RequestAnswered records a final answer at the moment at which the client receives it.
func (c *Checker) RequestAnswered(now time.Duration, id string, answer Answer) {
	c.CheckDeadlines(now)
	req := c.requests[id]
	switch {
	case req == nil:
		c.addViolation(1, "%s answered, but no request has this id", id)
		return
	case req.status == clientLeft && req.statusAt == now: // the answer crossed the client's departure
		return
	case req.status != unanswered:
		c.addViolation(1, "%s answered although its status is %s", id, req.status)
		return
	}
	c.checkAnswer(req, answer)
	c.finish(req, answered)
}

// checkAnswer checks the final answer of an unanswered request against rules 1 and 2.
func (c *Checker) checkAnswer(req *request, answer Answer) {
	retriesAreLimited := req.retries.Forbidden || req.retries.AllowedOn != nil
	switch {
	case answer == Served && req.inFlightOn == "":
		c.addViolation(1, "%s answered as served, but no attempt is in flight", req.id)
	case answer != Served && req.inFlightOn != "":
		c.addViolation(2, "%s answered without service while an attempt is in flight on %s", req.id, req.inFlightOn)
	case answer == Refused && req.ranOn != "" && retriesAreLimited:
		c.addViolation(1, "%s refused as safe to repeat although it may have run", req.id)
	case c.now > req.deadline+c.rules.AnswerGrace:
		c.addViolation(1, "%s answered %v after its deadline", req.id, c.now-req.deadline)
	}
}

// ClientLeft records that a client has gone before its answer. Its request needs no answer any more.
func (c *Checker) ClientLeft(now time.Duration, id string) {
	c.CheckDeadlines(now)
	if req := c.requests[id]; req != nil && req.status == unanswered {
		c.finish(req, clientLeft)
	}
}

func (c *Checker) finish(req *request, status requestStatus) {
	req.status, req.statusAt = status, c.now
	if status != clientLeft { // after the client has left, its attempt stays in flight until it ends
		req.inFlightOn = ""
	}
	c.open = slices.DeleteFunc(c.open, func(other *request) bool { return other == req })
}

// updateUnservable sets unservableSince of each open request.
func (c *Checker) updateUnservable() {
	for _, req := range c.open {
		since, isUnservable := c.unservable(req)
		switch {
		case !isUnservable:
			req.unservableSince = never
		case req.unservableSince < 0:
			req.unservableSince = since
		}
	}
}

// unservable reports whether a request may not be sent to any server any more, and since when.
func (c *Checker) unservable(req *request) (since time.Duration, isUnservable bool) {
	if req.inFlightOn != "" {
		return 0, false
	}
	if req.mustNotRetry || req.attempts >= c.rules.MaxAttempts || req.ranOn != "" && req.retries.Forbidden {
		return c.now, true
	}
	if !c.hasEndpoints {
		return 0, false // the node has no endpoint list yet
	}
	for id, s := range c.servers {
		if s.isKnown && s.state == Ready && !slices.Contains(req.failedOn, id) && c.mayRetryOn(req, id) {
			return 0, false
		}
	}
	windowEnd := req.ranAt + req.retries.Within
	if req.ranOn == "" || req.retries.Within <= 0 || c.now < windowEnd {
		return c.now, true
	}
	if req.idleSince >= windowEnd {
		return req.idleSince, true
	}
	return windowEnd + c.rules.Tick, true // no event marks the end of the window: a node notices it at a tick
}

// mayRetryOn reports whether the retry policy of a request lets it be sent to a server. The policy
// applies only to a request that may have run.
func (c *Checker) mayRetryOn(req *request, to string) bool {
	if req.ranOn == "" {
		return true
	}
	policy := req.retries
	inWindow := policy.Within == 0 || c.now < req.ranAt+policy.Within
	isAllowed := policy.AllowedOn == nil || policy.AllowedOn(req.ranOn, to)
	return !policy.Forbidden && inWindow && isAllowed
}
