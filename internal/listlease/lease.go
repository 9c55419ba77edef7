package listlease

import (
	"time"

	"coralrelay/internal/mutation"
)

// The delays that the operators' pages specify.
const (
	// NotifyDelay is the time after which a change counts as notified, whether or not the notification has
	// arrived. It starts when discovery has the change and can be reached.
	NotifyDelay = 6 * time.Second
	// ReloadDelay is the time after a reload with another address of discovery after which the changes that
	// the service at that address has count as notified.
	ReloadDelay = 4 * time.Second
	// MaxProcessPause is the longest time for which a process may be paused between reading its clock and
	// writing. The drain grace has to cover it.
	MaxProcessPause = 150 * time.Millisecond
	// minUnansweredConnect is the shortest time after which a connect that times out shows that the network
	// does not answer: by then the connection request has been sent a second time.
	minUnansweredConnect = time.Second
)

// Terms are the settings that a lease depends on.
type Terms struct {
	DrainGrace time.Duration // after a change counts as notified, until no new request may be sent
	// Pushed is set if discovery pushes changes. Changes then count as notified immediately while no watch
	// is open, and from the start of the process.
	Pushed bool
}

// earlyExpiry returns by how much a lease ends early because the drain grace does not cover
// MaxProcessPause.
func (t Terms) earlyExpiry() time.Duration { return max(0, MaxProcessPause-t.DrainGrace) }

// spareGrace returns the part of the drain grace that exceeds MaxProcessPause.
func (t Terms) spareGrace() time.Duration { return max(0, t.DrainGrace-MaxProcessPause) }

// Lease tracks until when the endpoint list may be used.
type Lease struct {
	terms       Terms
	generation  int64
	confirmedAt time.Time // when discovery last confirmed the list; zero if it never did
	renewedAt   time.Time // latest time at which no change that the list lacks can count as notified
	limit       time.Time // latest end of the lease until it is renewed; zero for no limit
	// wasReached is set once a connection to the service has been established since it last confirmed the
	// list. From then on, a connect that times out may be waiting in the accept queue of a service that can
	// be reached.
	wasReached bool
}

// New returns the lease of a process that starts at time now with a cached list of a generation. hasList is
// false if that list is empty.
func New(now time.Time, terms Terms, generation int64, hasList bool) *Lease {
	l := &Lease{terms: terms, generation: generation, renewedAt: now}
	if terms.Pushed && hasList {
		l.limit = now.Add(terms.spareGrace())
	}
	return l
}

// SetTerms replaces the terms after a reload.
func (l *Lease) SetTerms(terms Terms) { l.terms = terms }

// Confirm records that the list, which has the given generation, was that of the service at a time: at that
// time a complete list or a change began to arrive, or a heartbeat arrived on the watch of the list.
func (l *Lease) Confirm(at time.Time, generation int64) {
	l.generation = generation
	l.wasReached = false
	if at.After(l.confirmedAt) {
		l.confirmedAt = at
	}
	l.renew(at)
}

// renew extends the lease: at the given time, no change that the list lacks can have counted as notified.
func (l *Lease) renew(at time.Time) {
	if !at.Before(l.renewedAt) {
		l.renewedAt, l.limit = at, time.Time{}
	}
}

// ChangeAddress records that a reload has set another address of discovery. The changes that the service at
// that address has count as notified after ReloadDelay.
func (l *Lease) ChangeAddress(now time.Time) {
	l.wasReached = false
	l.limitTo(now.Add(ReloadDelay - l.terms.earlyExpiry()))
}

// limitTo makes the lease end no later than a time.
func (l *Lease) limitTo(at time.Time) {
	if l.limit.IsZero() || at.Before(l.limit) {
		l.limit = at
	}
}

// Connected records that the connection of a call has been established.
func (l *Lease) Connected() { l.wasReached = true }

// CallEnded records the end of a call. A call that shows that discovery cannot be reached renews the lease
// only if the lease has not ended: afterwards a change may already have counted as notified, and the
// outage does not undo that.
func (l *Lease) CallEnded(call Call) {
	if call.Outcome == WatchEnded && l.terms.Pushed {
		l.limitTo(call.EndedAt.Add(l.terms.spareGrace()))
	}
	if l.showsUnreachable(call) && call.BegunAt.Before(l.end()) {
		l.renew(call.BegunAt)
	}
}

// showsUnreachable reports whether a call shows that discovery could not be reached when the call began.
// Only an outcome that is impossible with a reachable service shows that. An answer never does, whatever it
// says and however soon it arrives: a service with a full queue answers 503 immediately or resets the
// connection, also after it has ended its watches, and its changes count as notified meanwhile.
// docs/incidents/2026-12-03-prompt-503.md has a trace of this.
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

// Status returns a snapshot of the lease.
func (l *Lease) Status() Status {
	return Status{Generation: l.generation, ConfirmedAt: l.confirmedAt, ExpiresAt: l.expiresAt()}
}

// expiresAt returns the time from which the list may no longer be used; zero for never.
func (l *Lease) expiresAt() time.Time {
	if mutation.Enabled("lease") {
		return time.Time{}
	}
	return l.end()
}

// end returns the time at which the lease ends.
func (l *Lease) end() time.Time {
	end := l.renewedAt.Add(NotifyDelay - l.terms.earlyExpiry())
	if !l.limit.IsZero() && l.limit.Before(end) {
		return l.limit
	}
	return end
}
