package balance

// The server list and the subscription to it. docs/notes/lists.md derives the times.

import (
	"maps"
	"slices"
	"time"
)

const (
	// minSubscribeBackoff is the backoff after the first failed call. It quadruples with each further
	// failure, up to maxSubscribeBackoff or one of the longer limits below.
	minSubscribeBackoff, maxSubscribeBackoff = time.Second / 8, time.Second
	// subscribeSpacing is the time that the list service takes per call if all instances call at once.
	subscribeSpacing = time.Second / 300
	// busySpacing is the time per call that is allowed for a list service that rejects calls because it is
	// busy, and maxBusyBackoff is the longest backoff after a rejected call, before jitter. If all instances
	// called sooner, the service would spend its time on calls that have already waited too long:
	// docs/incidents/2026-12-02-stale-endpoint-list.md.
	busySpacing    = 2 * subscribeSpacing
	maxBusyBackoff = 1900 * time.Millisecond
	// overloadedSpacing is the time per call that is allowed for a list service that repeatedly does not
	// serve queued calls in time, and maxOverloadedBackoff is the longest backoff period. The slowest service
	// known takes 8 s to serve 300 instances. A pause of about that length lets it work off its queue; the
	// calls after the pause are spread over about the same length, which is as fast as it can serve them.
	overloadedSpacing    = 8 * subscribeSpacing
	maxOverloadedBackoff = 30 * time.Second
)

// startSubscription treats a start as the end of a subscription, so that the first calls are spread if all
// instances start at the same time.
func (b *Balancer) startSubscription() {
	if b.settings.Instances > 1 && !b.settings.SubscribeImmediately {
		b.subscription.active = true
		b.scheduleSubscribe(CallFailed)
	}
	b.subscribeIfDue()
}

// subscribeIfDue calls the list service if there is no subscription and the backoff has passed.
func (b *Balancer) subscribeIfDue() {
	if !b.settings.SubscribeRequired || b.subscription.active || b.now < b.subscription.nextCallAt {
		return
	}
	// If the call gets no answer, it is repeated at this time.
	b.subscription.nextCallAt = b.now + max(b.settings.SubscribeTimeout, time.Second)
	b.emit(Subscribe{})
}

// scheduleSubscribe schedules the next call after a call has failed or the subscription has ended. The end of
// a subscription does not mean that the list service is down: the next call follows at once, apart from
// jitter, or maxSubscribeBackoff after the subscription began if it was shorter than that. A failed call is
// repeated after a backoff, which is bounded: once the service is back, two calls fit into the time after
// which all changes to the list count as reported, however long calls have failed. This does not hold for
// queue timeouts.
func (b *Balancer) scheduleSubscribe(failure ListFailure) {
	spread := b.jitter(min(b.otherSubscribers()*subscribeSpacing, maxSubscribeBackoff)/2, 1)
	pause := max(spread, b.subscription.nextCallAt-b.now)
	if !b.subscription.active {
		if failure == CallQueueTimeout {
			b.subscription.queueTimeouts++
		}
		pause = b.subscribeBackoff(failure)
		b.subscription.failures++
	}
	b.subscription.active = false
	b.subscription.nextCallAt = b.now + pause
	b.emit(SetTimer{Delay: pause + b.settings.Tick})
}

// otherSubscribers is the number of other instances that call the same list service; 0 if the service pushes
// changes, as this instance then has a list service of its own.
func (b *Balancer) otherSubscribers() time.Duration {
	if b.settings.ListPushed {
		return 0
	}
	return time.Duration(b.settings.Instances - 1)
}

// subscribeBackoff is the backoff after a failed call. A single queue timeout may be an isolated case; from
// the second one on the list service counts as overloaded.
func (b *Balancer) subscribeBackoff(failure ListFailure) time.Duration {
	if failure == CallQueueTimeout && b.subscription.queueTimeouts > 1 {
		period := b.fleetBackoff(overloadedSpacing, maxOverloadedBackoff)
		return b.jitter(period*9/8, 1.0/3) // from 3/4 to 3/2 of the period
	}
	longest := maxSubscribeBackoff
	if failure == CallRejected {
		longest = b.fleetBackoff(busySpacing, maxBusyBackoff)
	}
	return b.jitter(min(minSubscribeBackoff<<min(2*b.subscription.failures, 16), longest), 0.25)
}

// fleetBackoff is the time in which all instances make one call each at the given spacing, within bounds.
func (b *Balancer) fleetBackoff(spacing, longest time.Duration) time.Duration {
	return min(max(time.Duration(b.settings.Instances)*spacing, maxSubscribeBackoff), longest)
}

// handleListUpdate applies a change of the server list, or the failure of a call or subscription.
func (b *Balancer) handleListUpdate(e ListUpdate) {
	if e.Kind == ListFailed {
		b.scheduleSubscribe(e.Failure)
		return
	}
	if e.Kind != ListCached && !b.subscription.active {
		b.subscription.active = true
		b.subscription.failures, b.subscription.queueTimeouts = 0, 0
		b.subscription.nextCallAt = b.now + maxSubscribeBackoff
	}
	if e.Kind != ListDelta {
		b.removeUnlisted(e.Entries)
	}
	if e.Kind == ListFull || len(e.Entries) > 0 {
		b.subscription.listReceived = true
	}
	hadNoReadyServer := len(b.servers.ready) == 0
	for _, entry := range e.Entries {
		b.updateServer(entry)
	}
	if hadNoReadyServer && len(b.servers.ready) > 0 {
		b.admission.backoffEndsAt = b.now
		b.admitQueued()
	}
	b.finishUnplaceable()
}

// removeUnlisted marks the servers as gone that a complete list does not contain.
func (b *Balancer) removeUnlisted(entries []ServerEntry) {
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.ID] = true
	}
	for _, id := range slices.Sorted(maps.Keys(b.servers.byID)) { // in a deterministic order
		if !listed[id] {
			gone := b.servers.byID[id].ServerEntry
			gone.State = Gone
			b.updateServer(gone)
		}
	}
}

// updateServer applies the list entry of one server.
func (b *Balancer) updateServer(entry ServerEntry) {
	s := b.servers.byID[entry.ID]
	if s == nil {
		if entry.State == Gone {
			return
		}
		s = b.servers.add(entry.ID, b.fleet.recentPlacements.timeConstant)
	}
	if entry.StartedAt > s.StartedAt { // another process: the old state is void
		s.resetProcessState()
	}
	if entry.State == Draining && s.State != Draining {
		for _, r := range s.connections {
			b.scheduleMigration(r)
		}
	}
	s.ServerEntry = entry
	b.servers.setReady(s, entry.State == Ready)
	b.servers.removeIfGone(s)
}
