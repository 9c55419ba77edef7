package balance

// Which servers are there, and when is their list asked for?

import (
	"maps"
	"slices"
	"time"
)

// retry is the pause after a first call that failed; each further one is four times as long,
// and none over settle. each is what one of the calls of all instances at one moment takes:
// docs/notes/lists.md derives them.
const minSubscribeBackoff, subscribeSpacing = reportDelay / 8, reportDelay / 300

// askFirst takes a start, which may be all instances', for the end of a watch.
func (b *Balancer) startSubscription() {
	if b.settings.Instances > 1 && !b.settings.SubscribeImmediately {
		b.subscribed = true
		b.handleListUpdate(ListUpdate{Kind: ListFailed})
	}
	b.subscribeIfDue()
}

func (b *Balancer) subscribeIfDue() {
	if b.settings.SubscribeRequired && !b.subscribed && b.now >= b.nextCallAt {
		b.nextCallAt = b.now + max(b.settings.SubscribeTimeout, time.Second) // should the answer never come
		b.emit(Subscribe{})
	}
}

func (b *Balancer) handleListUpdate(e ListUpdate) {
	if e.Kind == ListFailed {
		// A watch that has ended is no list that is down: it is asked at once, unless it had
		// just begun. The back-off is for calls. However long they have failed, two fit into
		// the time after which all that a list has to tell counts as told once it is back.
		others := time.Duration(b.settings.Instances - 1)
		pause := max(b.jitter(min(others*subscribeSpacing, reportDelay)/2, 1), b.nextCallAt-b.now)
		if !b.subscribed {
			pause = b.jitter(min(minSubscribeBackoff<<min(2*b.subscribeFailures, 16), reportDelay), 0.25)
			b.subscribeFailures++
		}
		b.subscribed, b.nextCallAt = false, b.now+pause
		b.emit(SetTimer{Delay: pause + b.settings.Tick})
		return
	}
	if e.Kind != ListCached && !b.subscribed {
		b.subscribed, b.subscribeFailures, b.nextCallAt = true, 0, b.now+reportDelay
	}
	if e.Kind != ListDelta {
		b.removeUnlisted(e.Entries)
	}
	b.listReceived = b.listReceived || e.Kind == ListFull || len(e.Entries) > 0
	hadNone := len(b.ready) == 0
	for _, entry := range e.Entries {
		b.updateServer(entry)
	}
	if hadNone && len(b.ready) > 0 {
		b.backoffEndsAt = b.now
		b.admitQueued()
	}
	b.finishUnplaceable()
}

// dropUnlisted marks servers gone that a whole list no longer names.
func (b *Balancer) removeUnlisted(entries []ServerEntry) {
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.ID] = true
	}
	for _, id := range slices.Sorted(maps.Keys(b.servers)) { // not in the map's order
		if !listed[id] {
			gone := b.servers[id].ServerEntry
			gone.State = Gone
			b.updateServer(gone)
		}
	}
}

// entry takes what the list says of one server.
func (b *Balancer) updateServer(entry ServerEntry) {
	s := b.servers[entry.ID]
	if s == nil {
		if entry.State == Gone {
			return
		}
		s = &server{readyIndex: -1, reportedLoad: -1, ringHash: ringHash(entry.ID)}
		s.placedLoad.timeConstant, s.recentFaults.timeConstant, s.recentAttempts.timeConstant = reportDelay, faultDecay, b.rate[0].timeConstant
		s.observedAttempts.timeConstant, s.observedFailures.timeConstant = observationDecay, observationDecay
		b.servers[entry.ID] = s
	}
	if entry.StartedAt > s.StartedAt { // another process: what is known is the old one's
		s.reportedLoad, s.loadPerConnection, s.probeInFlight = -1, 0, false
		s.placedLoad.sum, s.recentFaults.sum, s.recentAttempts.sum = 0, 0, 0
		s.observedAttempts.sum, s.observedFailures.sum, s.tokensUsed, s.tokens = 0, 0, 0, 0
	}
	if entry.State == Draining && s.State != Draining {
		for _, r := range s.connections {
			b.scheduleMigration(r)
		}
	}
	s.ServerEntry = entry
	switch {
	case entry.State == Ready && s.readyIndex < 0:
		s.readyIndex = len(b.ready)
		b.ready = append(b.ready, s)
		i, _ := slices.BinarySearchFunc(b.ring, s.ringHash, compareRingHash)
		b.ring = slices.Insert(b.ring, i, s)
	case entry.State != Ready && s.readyIndex >= 0:
		last := b.ready[len(b.ready)-1]
		b.ready[s.readyIndex], last.readyIndex = last, s.readyIndex
		b.ready = b.ready[:len(b.ready)-1]
		b.ring = slices.DeleteFunc(b.ring, func(t *server) bool { return t == s })
		s.readyIndex = -1
	}
	if entry.State == Gone && len(s.connections) == 0 {
		delete(b.servers, entry.ID)
	}
}
