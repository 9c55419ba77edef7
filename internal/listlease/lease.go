package listlease

import (
	"time"

	"coralrelay/internal/mutation"
)

// The times of the operators' pages.
const (
	// NotifyDelay is after how long whatever discovery has to tell counts as notified, whether or not it
	// arrived, once discovery had it and could be reached.
	NotifyDelay = 6 * time.Second
	// ReloadDelay is the same after a reload has named another address.
	ReloadDelay = 4 * time.Second
	// HoldUp is for how long a process may be held up between reading its clock and writing. The drain
	// grace has to cover it.
	HoldUp = 150 * time.Millisecond
	// promptAnswer bounds an answer that can't have waited too long: the shortest time for which a known
	// discovery lets calls wait is 1 s.
	promptAnswer = time.Second
)

// Terms are what of the settings a lease goes by.
type Terms struct {
	DrainGrace time.Duration // after a change counts as notified, until nothing new may be sent any more
	// Pushed is set where discovery tells changes by itself: then they count as notified at once where no
	// watch is open, and from the start of a process.
	Pushed bool
}

// hurry is by how much a lease ends early because the drain grace does not cover a hold-up.
func (t Terms) hurry() time.Duration { return max(0, HoldUp-t.DrainGrace) }

// spare is what the drain grace leaves beside a hold-up.
func (t Terms) spare() time.Duration { return max(0, t.DrainGrace-HoldUp) }

// Lease is until when the endpoint list may be relied on.
type Lease struct {
	terms       Terms
	generation  int64
	confirmedAt time.Time // when the list was last known to be the service's; zero if it never was
	vouchedAt   time.Time // the latest moment at which nothing that the list lacks can have counted
	limit       time.Time // the lease ends by then, until the list is vouched for anew; zero for no limit
	// mayBeDown is set from when the service has ended a watch until there is a sign that it can be reached: watches
	// end when discovery goes down, so that a call which fails at once since then is a sign of that.
	mayBeDown bool
}

// Start returns the lease of a process that starts, with a list of a generation that it was given. hasList is not
// set if that list is empty.
func Start(now time.Time, terms Terms, generation int64, hasList bool) *Lease {
	l := &Lease{terms: terms, generation: generation, vouchedAt: now}
	if terms.Pushed && hasList {
		l.limit = now.Add(terms.spare())
	}
	return l
}

// SetTerms changes the terms, as a reload does.
func (l *Lease) SetTerms(terms Terms) { l.terms = terms }

// Confirm takes that the list, which is of a generation, was the service's at a time: a complete list or change began
// to come then, or a heartbeat came on the watch that follows it.
func (l *Lease) Confirm(at time.Time, generation int64) {
	l.generation = generation
	l.mayBeDown = false
	if at.After(l.confirmedAt) {
		l.confirmedAt = at
	}
	l.vouch(at)
}

// vouch takes that nothing which the list lacks can have counted as notified by a time.
func (l *Lease) vouch(at time.Time) {
	if !at.Before(l.vouchedAt) {
		l.vouchedAt, l.limit = at, time.Time{}
	}
}

// ChangeAddress takes that a reload has named another address: what the service there has to tell counts by
// ReloadDelay.
func (l *Lease) ChangeAddress(now time.Time) {
	l.mayBeDown = false
	l.limitTo(now.Add(ReloadDelay - l.terms.hurry()))
}

// limitTo has the lease end by a time.
func (l *Lease) limitTo(at time.Time) {
	if l.limit.IsZero() || at.Before(l.limit) {
		l.limit = at
	}
}

// CallEnded takes the end of a call. That discovery is down renews a lease only while it lasts: after its end some change
// may have counted already, and still does.
func (l *Lease) CallEnded(call Call) {
	if call.Outcome == WatchEnded {
		l.mayBeDown = true
		if l.terms.Pushed {
			l.limitTo(call.EndedAt.Add(l.terms.spare()))
		}
		return
	}
	if call.showsReachable() {
		l.mayBeDown = false
	}
	if l.showsOutage(call) && call.BegunAt.Before(l.renewableUntil()) {
		l.vouch(call.BegunAt)
	}
}

// renewableUntil is until when a sign that discovery is down renews the lease. Where lists are pushed that is after its
// end: a watch that discovery ended as it went down has nothing to count, and the first call comes later.
func (l *Lease) renewableUntil() time.Time {
	if l.terms.Pushed {
		return l.vouchedAt.Add(NotifyDelay)
	}
	return l.end()
}

// showsOutage reports whether a call shows that discovery could not be reached when it began.
func (l *Lease) showsOutage(call Call) bool {
	switch call.Outcome {
	case ConnectRefused:
		return true
	case ConnectTimedOut: // sooner it is no silence of the network
		return !call.isPrompt()
	case Unavailable, Reset:
		return l.mayBeDown && call.isPrompt()
	}
	return false
}

// Status is what the lease says now.
func (l *Lease) Status() Status {
	return Status{Generation: l.generation, ConfirmedAt: l.confirmedAt, ExpiresAt: l.expiresAt()}
}

// expiresAt is when the list may not be relied on any more; zero for never.
func (l *Lease) expiresAt() time.Time {
	if mutation.Enabled("lease") {
		return time.Time{}
	}
	return l.end()
}

// end is when the lease ends.
func (l *Lease) end() time.Time {
	end := l.vouchedAt.Add(NotifyDelay - l.terms.hurry())
	if !l.limit.IsZero() && l.limit.Before(end) {
		return l.limit
	}
	return end
}
