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
	// MaxProcessPause is for how long a process may be held up between reading its clock and writing. The drain
	// grace has to cover it.
	MaxProcessPause = 150 * time.Millisecond
	// minUnansweredConnect is how long a connect goes unanswered at least where the network is silent: until its
	// request has been sent a second time.
	minUnansweredConnect = time.Second
)

// Terms are what of the settings a lease goes by.
type Terms struct {
	DrainGrace time.Duration // after a change counts as notified, until nothing new may be sent any more
	// Pushed is set where discovery tells changes by itself: then they count as notified at once where no
	// watch is open, and from the start of a process.
	Pushed bool
}

// hurry is by how much a lease ends early because the drain grace does not cover a hold-up.
func (t Terms) hurry() time.Duration { return max(0, MaxProcessPause-t.DrainGrace) }

// spare is what the drain grace leaves beside a hold-up.
func (t Terms) spare() time.Duration { return max(0, t.DrainGrace-MaxProcessPause) }

// Lease is until when the endpoint list may be relied on.
type Lease struct {
	terms       Terms
	generation  int64
	confirmedAt time.Time // when the list was last known to be the service's; zero if it never was
	vouchedAt   time.Time // the latest moment at which nothing that the list lacks can have counted
	limit       time.Time // the lease ends by then, until the list is vouched for anew; zero for no limit
	// wasReached is set once a connection to the service has come up since it last confirmed the list: from then on
	// one that does not come up may wait in the accept queue of a service that can be reached.
	wasReached bool
}

// New returns the lease of a process that starts, with a list of a generation that it was given. hasList is not
// set if that list is empty.
func New(now time.Time, terms Terms, generation int64, hasList bool) *Lease {
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
	l.wasReached = false
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
	l.wasReached = false
	l.limitTo(now.Add(ReloadDelay - l.terms.hurry()))
}

// limitTo has the lease end by a time.
func (l *Lease) limitTo(at time.Time) {
	if l.limit.IsZero() || at.Before(l.limit) {
		l.limit = at
	}
}

// Connected takes that the connection of a call has come up.
func (l *Lease) Connected() { l.wasReached = true }

// CallEnded takes the end of a call. That discovery can't be reached renews a lease only while it lasts: after its end
// some change may have counted already, and still does.
func (l *Lease) CallEnded(call Call) {
	if call.Outcome == WatchEnded && l.terms.Pushed {
		l.limitTo(call.EndedAt.Add(l.terms.spare()))
	}
	if l.showsUnreachable(call) && call.BegunAt.Before(l.end()) {
		l.vouch(call.BegunAt)
	}
}

// showsUnreachable reports whether a call shows that discovery could not be reached when it began. Only what a service
// that can be reached never does is a sign of that. An answer is none, whatever it says and however soon it comes: a
// service with a full queue answers 503 at once, or resets, after it has ended its watches too, and what it has to tell
// counts meanwhile. docs/incidents/2026-12-03-prompt-503.md has the trace.
func (l *Lease) showsUnreachable(call Call) bool {
	switch call.Outcome {
	case ConnectRefused:
		return true
	case ConnectTimedOut:
		return !l.wasReached && call.duration() >= minUnansweredConnect
	case Unavailable, Reset:
		return call.duration() < minQueueWait && mutation.Enabled("outage")
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
