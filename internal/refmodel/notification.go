package refmodel

// Rule 3: when a change of a server counts as notified.

import (
	"cmp"
	"slices"
	"time"
)

// outage is a period in which the node could not reach discovery.
type outage struct {
	from, to time.Duration // to is never while the outage lasts
}

// DiscoveryReachabilityChanged records whether the node can reach discovery from now on. During an
// outage no further change counts as notified without a notification.
func (c *Checker) DiscoveryReachabilityChanged(now time.Duration, reachable bool) {
	c.CheckDeadlines(now)
	last := len(c.outages) - 1
	isUnreachable := last >= 0 && c.outages[last].to == never
	switch {
	case reachable && isUnreachable:
		c.outages[last].to = now
	case !reachable && !isUnreachable:
		c.outages = append(c.outages, outage{now, never})
	}
}

// dueAt returns the time from which a change that discovery had at a given time counts as
// notified: the end of the first NotifyDelay after it in which discovery was reachable throughout.
// It returns never while an outage lasts that began before the end of that delay.
func (c *Checker) dueAt(changedAt time.Duration) time.Duration {
	delayStart := changedAt
	for _, o := range c.outages {
		if delayStart+c.rules.NotifyDelay <= o.from {
			break
		}
		if o.to == never {
			return never
		}
		delayStart = max(delayStart, o.to)
	}
	return delayStart + c.rules.NotifyDelay
}

// notifiedState is a server state that counts as notified since a time.
type notifiedState struct {
	at    time.Duration
	state ServerState
}

// notified returns the states of a server that count as notified by now, in order of time:
// those of its notifications, and those of the changes that are due, except changes that the last
// notification before the due time included.
func (c *Checker) notified(s *server) (states []notifiedState) {
	for _, n := range s.notifications {
		states = append(states, notifiedState{n.at, n.state})
	}
	for i, change := range s.changes {
		dueAt := c.dueAt(change.at)
		if dueAt != never && dueAt <= c.now && s.includedChanges(dueAt) <= i {
			states = append(states, notifiedState{dueAt, change.state})
		}
	}
	slices.SortStableFunc(states, func(a, b notifiedState) int { return cmp.Compare(a.at, b.at) })
	return states
}

// includedChanges returns how many of the server's changes its last notification by a time included.
func (s *server) includedChanges(by time.Duration) (count int) {
	for _, n := range s.notifications {
		if n.at <= by {
			count = n.changes
		}
	}
	return count
}

// leavingSince reports whether it counts as notified that a server is draining or gone, and since
// when. A server that has become ready again counts as leaving until this change counts as notified
// too.
func (c *Checker) leavingSince(s *server) (since time.Duration, isLeaving bool) {
	for _, notified := range c.notified(s) {
		switch {
		case notified.state == Ready:
			isLeaving = false
		case !isLeaving:
			since, isLeaving = notified.at, true
		}
	}
	return since, isLeaving
}
