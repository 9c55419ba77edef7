package balance

// Which servers are there, and when is their list subscribed to? docs/notes/lists.md derives the times.

import (
	"maps"
	"slices"
	"time"
)

const (
	// minSubscribeBackoff is the pause after a first call that failed; each further one is four times
	// as long, and none over maxSubscribeBackoff.
	minSubscribeBackoff, maxSubscribeBackoff = time.Second / 8, time.Second
	// subscribeSpacing is what one of the calls of all instances at one moment takes.
	subscribeSpacing = time.Second / 300
	// busySpacing is the same of a list service that has no time for its calls, and maxBusyBackoff the
	// longest pause for it. Called sooner by all instances it is kept busy with calls that have waited too
	// long: docs/incidents/2026-12-02-stale-endpoint-list.md.
	busySpacing    = 2 * subscribeSpacing
	maxBusyBackoff = 1900 * time.Millisecond
	// crowdedSpacing is the same of a list service that lets call after call wait in vain: the slowest one
	// known needs 8 s to serve 300 instances. A pause of that length lets it get through its queue, and the
	// calls after it are spread over as long again, which is as fast as it can serve them.
	crowdedSpacing    = 8 * subscribeSpacing
	maxCrowdedBackoff = 30 * time.Second
)

// startSubscription treats a start, which may be that of all instances, as a subscription that has
// ended, so that the first calls are spread.
func (b *Balancer) startSubscription() {
	if b.settings.Instances > 1 && !b.settings.SubscribeImmediately {
		b.subscription.active = true
		b.scheduleSubscribe(CallFailed)
	}
	b.subscribeIfDue()
}

func (b *Balancer) subscribeIfDue() {
	if !b.settings.SubscribeRequired || b.subscription.active || b.now < b.subscription.nextCallAt {
		return
	}
	// Should the answer never come.
	b.subscription.nextCallAt = b.now + max(b.settings.SubscribeTimeout, time.Second)
	b.emit(Subscribe{})
}

// scheduleSubscribe sets the time of the next call, as a call or the subscription has failed. A
// subscription that has ended is no list service that is down: the next call follows at once, unless
// the subscription had just begun. The backoff is for calls. However long they have failed, two fit
// into the time after which all that a list has to report counts as reported once it is back, unless the
// calls wait in vain.
func (b *Balancer) scheduleSubscribe(failure ListFailure) {
	spread := b.jitter(min(b.othersAtService()*subscribeSpacing, maxSubscribeBackoff)/2, 1)
	pause := max(spread, b.subscription.nextCallAt-b.now)
	if !b.subscription.active {
		if failure == CallQueueTimeout {
			b.subscription.waitedCalls++
		}
		pause = b.subscribeBackoff(failure)
		b.subscription.failures++
	}
	b.subscription.active = false
	b.subscription.nextCallAt = b.now + pause
	b.emit(SetTimer{Delay: pause + b.settings.Tick})
}

// othersAtService is how many other instances call the same list service. One that tells changes by itself
// is this instance's own.
func (b *Balancer) othersAtService() time.Duration {
	if b.settings.ListPushed {
		return 0
	}
	return time.Duration(b.settings.Instances - 1)
}

// subscribeBackoff is the pause after a call that has failed. A call that waited in vain may have been
// alone in that; from the second one on the service is crowded.
func (b *Balancer) subscribeBackoff(failure ListFailure) time.Duration {
	if failure == CallQueueTimeout && b.subscription.waitedCalls > 1 {
		crowd := b.fleetBackoff(crowdedSpacing, maxCrowdedBackoff)
		return b.jitter(crowd*9/8, 1.0/3) // 3/4 of it to 3/2
	}
	longest := maxSubscribeBackoff
	if failure == CallRejected {
		longest = b.fleetBackoff(busySpacing, maxBusyBackoff)
	}
	return b.jitter(min(minSubscribeBackoff<<min(2*b.subscription.failures, 16), longest), 0.25)
}

// fleetBackoff is the time in which all instances call, spaced so, and within bounds.
func (b *Balancer) fleetBackoff(spacing, longest time.Duration) time.Duration {
	return min(max(time.Duration(b.settings.Instances)*spacing, maxSubscribeBackoff), longest)
}

func (b *Balancer) handleListUpdate(e ListUpdate) {
	if e.Kind == ListFailed {
		b.scheduleSubscribe(e.Failure)
		return
	}
	if e.Kind != ListCached && !b.subscription.active {
		b.subscription.active = true
		b.subscription.failures, b.subscription.waitedCalls = 0, 0
		b.subscription.nextCallAt = b.now + maxSubscribeBackoff
	}
	if e.Kind != ListDelta {
		b.removeUnlisted(e.Entries)
	}
	if e.Kind == ListFull || len(e.Entries) > 0 {
		b.subscription.listReceived = true
	}
	hadNone := len(b.servers.ready) == 0
	for _, entry := range e.Entries {
		b.updateServer(entry)
	}
	if hadNone && len(b.servers.ready) > 0 {
		b.admission.backoffEndsAt = b.now
		b.admitQueued()
	}
	b.finishUnplaceable()
}

// removeUnlisted marks servers gone that a complete list no longer names.
func (b *Balancer) removeUnlisted(entries []ServerEntry) {
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.ID] = true
	}
	for _, id := range slices.Sorted(maps.Keys(b.servers.byID)) { // not in the map's order
		if !listed[id] {
			gone := b.servers.byID[id].ServerEntry
			gone.State = Gone
			b.updateServer(gone)
		}
	}
}

// updateServer takes what the list says of one server.
func (b *Balancer) updateServer(entry ServerEntry) {
	s := b.servers.byID[entry.ID]
	if s == nil {
		if entry.State == Gone {
			return
		}
		s = b.servers.add(entry.ID, b.fleet.recentPlacements.timeConstant)
	}
	if entry.StartedAt > s.StartedAt { // another process: what is known is the old one's
		s.forgetProcess()
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
